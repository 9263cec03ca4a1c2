/** Free ports on loopback. */
import * as net from "node:net";

const reserve = (): Promise<net.Server> =>
    new Promise((resolve, reject) => {
        const server = net.createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });

/**
 * Finds free ports.
 *
 * @param count - how many
 * @returns distinct ports, free a moment ago
 */
export const reservePorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all([...Array(count).keys()].map(reserve));
    const ports = servers.map(server => (server.address() as net.AddressInfo).port);
    await Promise.all(servers.map(server => new Promise<void>(resolve => server.close(() => resolve()))));
    return ports;
};
