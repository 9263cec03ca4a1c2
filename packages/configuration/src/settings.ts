/** Settings of one instance: who it is, where it listens and where the platform is. */
import type * as tsResults from "ts-results";
import * as zod from "zod";
import * as address from "./address";
import * as problems from "./problems";

const maximumSettingsBytes = 65_536;
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

/** Settings of one instance. */
export type Settings = zod.infer<typeof settingsSchema>;

/** Files for mutual TLS between instances. */
export type TlsSettings = zod.infer<typeof tlsSchema>;

/**
 * Reads the settings of an instance.
 *
 * @param file - the name shown in problems
 * @param text - YAML
 * @returns the settings, or every problem found
 */
export const parseSettings = (
    file: string,
    text: string,
): tsResults.Result<Settings, problems.ConfigurationProblem[]> =>
    problems.readDocument({ file, text, maximumBytes: maximumSettingsBytes }, settingsSchema);
