/** Loads the example environment documents with loopback addresses. */
import type * as configuration from "@mulberryseam/configuration";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as portReservation from "./ports";

const examplesFolder = path.resolve(__dirname, "../../../examples");

/**
 * Loads an example document and assigns every upstream a free port on loopback.
 *
 * @param name - file name of the example without its extension
 * @returns the parsed document
 */
export const loadExample = async (name: string): Promise<configuration.Environment> => {
    const document = yaml.parse(
        fs.readFileSync(path.join(examplesFolder, `${name}.yaml`), "utf8"),
    ) as configuration.Environment;
    const upstreams = document.services.flatMap(service => service.upstreams);
    const ports = await portReservation.reservePorts(upstreams.length);
    upstreams.forEach((upstream, index) => {
        upstream.address = `127.0.0.1:${ports[index]}`;
    });
    return document;
};
