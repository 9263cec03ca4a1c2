/** Settings of an instance: its identity, its listening addresses, the platform's addresses and telemetry. */
import type * as tsResults from "ts-results";
import * as zod from "zod";
import * as address from "./address";
import * as problems from "./problems";

const maxSettingsBytes = 65_536;
const nameSchema = zod.string().regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    "expected lower-case letters, digits, dots, dashes",
);

const tlsSchema = zod.strictObject({
    /** Path of the private key, PEM. */
    key: zod.string(),
    /** Path of the certificate, PEM. */
    certificate: zod.string(),
    /** Path of the certificate authority that signs every peer, PEM. */
    authority: zod.string(),
});

const settingsSchema = zod.strictObject({
    name: nameSchema,
    region: nameSchema,
    failureDomain: nameSchema,
    environment: nameSchema.default("production"),
    callers: zod.strictObject({ address: address.addressSchema }),
    operators: zod.strictObject({ address: address.addressSchema }),
    peers: zod.strictObject({ address: address.addressSchema, tls: tlsSchema.optional() }),
    platform: zod.strictObject({
        logService: zod.url(),
        logStream: nameSchema.default("mulberryseam"),
        instanceList: zod.url(),
    }),
    telemetry: zod.strictObject({
        metrics: address.addressSchema.optional(),
        traces: zod.url().optional(),
        traceShare: zod.number().min(0).max(1).default(0.01),
        logLevel: zod.enum(["error", "warning", "information", "debug"]).default("information"),
    }).prefault({}),
});

/** Validated settings of an instance. */
export type Settings = zod.infer<typeof settingsSchema>;

/** Paths of the files for mutual TLS between instances. */
export type TlsSettings = zod.infer<typeof tlsSchema>;

/**
 * Parses and validates the settings of an instance.
 *
 * @param file - file name reported in problems
 * @param text - the settings as YAML
 * @returns the settings, or all problems found
 */
export const parseSettings = (
    file: string,
    text: string,
): tsResults.Result<Settings, problems.ConfigurationProblem[]> =>
    problems.readDocument({ file, text, maxBytes: maxSettingsBytes }, settingsSchema);
