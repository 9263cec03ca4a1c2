/** What a scenario of measurement is. */
import type * as foundation from "@mulberryseam/foundation";

/** Figures of a scenario: numbers, or groups of them. */
export type Figures = { [name: string]: number | string | Figures | readonly Figures[]; };

/** What a scenario is run with. */
export interface ScenarioRun {
    seed: number;
    owner: foundation.Owner;
    /** Tells people how far the run is. */
    say: (text: string) => void;
}

/** A measurement that can be repeated by name and seed. */
export interface Scenario {
    name: string;
    description: string;
    run: (run: ScenarioRun) => Promise<Figures>;
}
