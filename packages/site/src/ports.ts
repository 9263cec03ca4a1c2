/** Reserves free ports on loopback. */
import * as crypto from "node:crypto";
import * as net from "node:net";

const minPort = 12_000;
/** Below the ephemeral ports, so that no outgoing connection takes a reserved port. */
const maxPort = 30_000;

const reservedPorts = new Set<number>();

const isFree = (port: number, host: string): Promise<boolean> =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/**
 * Finds free ports.
 *
 * @param count - the number of ports
 * @param host - the loopback address on which the ports must be free
 * @returns distinct ports that were free when checked and that this process has not reserved before
 */
export const reservePorts = async (count: number, host = "127.0.0.1"): Promise<number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = crypto.randomInt(minPort, maxPort);
        if (!reservedPorts.has(port) && await isFree(port, host)) {
            reservedPorts.add(port);
            ports.push(port);
        }
    }
    return ports;
};
