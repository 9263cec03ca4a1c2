/** Listening on a TCP port. */
import type * as net from "node:net";

/**
 * Makes a server listen.
 *
 * @param server - any TCP or HTTP server
 * @param host - IP number to listen on
 * @param port - the port, 0 for any
 * @returns once it listens; rejects when the address cannot be had
 */
export const listenOn = (server: net.Server, host: string, port: number): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });
