/** Version of the program, as in the package file of the workspace. */
export const programVersion = "0.1.0";
