/** Free ports on loopback. */
import * as crypto from "node:crypto";
import * as net from "node:net";

/** Below the ports that systems give to outgoing connections, which would take a reserved port away again. */
const lowestPort = 12_000;
const highestPort = 30_000;

const given = new Set<number>();

const isFree = (port: number, host: string): Promise<boolean> =>
    new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });

/**
 * Finds free ports.
 *
 * @param count - how many
 * @param host - loopback address to listen on
 * @returns distinct ports, free a moment ago and not given out before
 */
export const reservePorts = async (count: number, host = "127.0.0.1"): Promise<number[]> => {
    const ports: number[] = [];
    while (ports.length < count) {
        const port = crypto.randomInt(lowestPort, highestPort);
        if (!given.has(port) && await isFree(port, host)) {
            given.add(port);
            ports.push(port);
        }
    }
    return ports;
};
