/** The interface of a measurement scenario. */
import type * as foundation from "@mulberryseam/foundation";

/** Named results of a scenario: numbers, texts or nested groups of them. */
export type Measurements = { [name: string]: number | string | Measurements | readonly Measurements[]; };

/** The context in which a scenario runs. */
export interface ScenarioContext {
    seed: number;
    owner: foundation.Owner;
    /** Prints the progress of the run. */
    reportProgress: (text: string) => void;
}

/** A measurement that its name and a seed reproduce. */
export interface Scenario {
    name: string;
    description: string;
    run: (context: ScenarioContext) => Promise<Measurements>;
}
