/** Resets TCP connections. */
import type * as net from "node:net";

/**
 * Resets a connection (TCP RST), which discards unsent bytes. While the end of the connection is being sent, the system refuses a reset;
 * Node.js then neither closes the connection nor lets its process end, so the reset follows the end.
 *
 * @param socket - the connection; undefined if there is none any more
 */
export const resetConnection = (socket: net.Socket | undefined): void => {
    if (socket === undefined) {
        return;
    }
    const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
    if (isEnding) {
        socket.once("finish", () => socket.resetAndDestroy());
        return;
    }
    socket.resetAndDestroy();
};
