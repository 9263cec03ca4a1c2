/** Listens on a TCP port. */
import type * as net from "node:net";

/**
 * Starts a server.
 *
 * @param server - any TCP or HTTP server
 * @param host - IP address to listen on
 * @param port - TCP port; 0 selects a free one
 * @param onError - called with later errors, as when a connection cannot be accepted; without it, they are not caught
 * @returns a promise that resolves when the server listens and rejects if it cannot bind the address
 */
export const listenOn = (
    server: net.Server,
    host: string,
    port: number,
    onError?: (error: Error) => void,
): Promise<void> =>
    new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            if (onError !== undefined) {
                server.on("error", onError);
            }
            server.off("error", reject);
            resolve();
        });
    });
