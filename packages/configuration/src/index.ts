/** Parsers of instance settings and environment documents, with schema validation and located errors. */
export { parseAddress } from "./address";
export type { Address } from "./address";
export { parseEnvironment, ServiceKind } from "./environment";
export type { Environment, Link, Rank, Region, Service, Upstream } from "./environment";
export { describeProblem } from "./problems";
export type { ConfigurationProblem } from "./problems";
export { parseSettings } from "./settings";
export type { Settings, TlsSettings } from "./settings";
