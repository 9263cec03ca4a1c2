/** Stand-in for a link between regions: any TCP connection can be led through it, delayed, narrowed or cut. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as httpServer from "./httpServer";

/** A running link. */
export interface LinkStandIn {
    port: number;
    /** Cuts or mends the link; a cut one swallows what is sent, as a lost route does. */
    setCut: (cut: { forward: boolean; backward: boolean; }) => void;
    /** Changes the time that bytes travel, in milliseconds. */
    setDelay: (milliseconds: number) => void;
    /** Resets every connection. */
    reset: () => void;
    /** Bytes carried in both directions. */
    carriedBytes: () => number;
}

/** How a link behaves. */
export interface LinkOptions {
    port: number;
    targetHost: string;
    targetPort: number;
    delayMilliseconds: number;
    /** Rate of each direction, shared by all connections; undefined for no limit. */
    bytesPerSecond?: number;
}

/** When the line of one direction is free again. */
interface Line {
    freeAt: number;
}

const millisecondsPerSecond = 1000;

/**
 * Starts a link on loopback.
 *
 * @param options - how the link behaves
 * @param owner - stops the link
 * @returns the running link
 */
export const createLinkStandIn = async (options: LinkOptions, owner: foundation.Owner): Promise<LinkStandIn> => {
    const sockets = new Set<net.Socket>();
    const cut = { forward: false, backward: false };
    const lines: { forward: Line; backward: Line; } = { forward: { freeAt: 0 }, backward: { freeAt: 0 } };
    let carried = 0;
    let { delayMilliseconds } = options;

    // Time until bytes handed in now have been sent and have travelled; the line carries them one after the other.
    const travelMilliseconds = (line: Line, bytes: number): number => {
        const now = performance.now();
        const sending = options.bytesPerSecond === undefined
            ? 0
            : bytes * millisecondsPerSecond / options.bytesPerSecond;
        line.freeAt = Math.max(line.freeAt, now) + sending;
        return line.freeAt - now + delayMilliseconds;
    };

    const carry = (from: net.Socket, to: net.Socket, line: Line, isCut: () => boolean): void => {
        from.on("data", bytes => {
            const data = bytes as Buffer;
            carried += data.length;
            setTimeout(() => {
                if (!isCut() && to.writable) {
                    to.write(data);
                }
            }, travelMilliseconds(line, data.length));
        });
        from.on("end", () => {
            setTimeout(() => {
                if (!isCut()) {
                    to.end();
                }
            }, travelMilliseconds(line, 0));
        });
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            setTimeout(() => to.destroySoon(), travelMilliseconds(line, 0));
        });
    };

    const server = net.createServer({ allowHalfOpen: true }, incoming => {
        const outgoing = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true });
        incoming.setNoDelay(true);
        outgoing.setNoDelay(true);
        sockets.add(incoming);
        sockets.add(outgoing);
        carry(incoming, outgoing, lines.forward, () => cut.forward);
        carry(outgoing, incoming, lines.backward, () => cut.backward);
    });
    await foundation.listenOn(server, "127.0.0.1", options.port);
    owner.onCleanup(() =>
        new Promise<void>(resolve => {
            sockets.forEach(socket => socket.destroy());
            server.close(() => resolve());
        })
    );
    return {
        port: httpServer.portOf(server),
        setCut: change => Object.assign(cut, change),
        setDelay: milliseconds => {
            delayMilliseconds = milliseconds;
        },
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
        carriedBytes: () => carried,
    };
};
