import eslint from "@eslint/js";
import typescriptEslint from "typescript-eslint";

const restrictedSyntax = [
    { selector: "ImportSpecifier", message: "Import the namespace: import * as module from …" },
    { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
    { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
    { selector: "ClassDeclaration", message: "Use a factory function in place of a class." },
];

export default typescriptEslint.config(
    { ignores: ["**/dist/**", "**/target/**", "**/node_modules/**"] },
    eslint.configs.recommended,
    ...typescriptEslint.configs.recommended,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "func-style": ["error", "expression"],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "max-lines-per-function": ["error", { max: 200, skipBlankLines: true, skipComments: true }],
            "max-lines": ["error", { max: 500, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "forbid" },
            ],
            "@typescript-eslint/no-namespace": "off",
        },
    },
    {
        files: ["scripts/**/*.mjs", "scripts/**/*.cjs"],
        languageOptions: { globals: { process: "readonly", console: "readonly", module: "readonly" } },
    },
);
