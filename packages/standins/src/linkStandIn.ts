/** Stand-in for a network link between regions: a TCP proxy with configurable delay, bandwidth and interruptions. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as httpServer from "./httpServer";

/** A running link. */
export interface LinkStandIn {
    port: number;
    /** Interrupts or restores each direction. An interrupted direction silently drops data, as a lost route does. */
    setInterrupted: (interrupted: { forward: boolean; backward: boolean; }) => void;
    /** Sets the propagation delay of each direction. */
    setDelay: (milliseconds: number) => void;
    /** Resets every connection (TCP RST). */
    reset: () => void;
    /** Returns the number of bytes received in both directions, including dropped ones. */
    transferredBytes: () => number;
}

/** Configures a link. */
export interface LinkOptions {
    port: number;
    targetHost: string;
    targetPort: number;
    /** Propagation delay of each direction. */
    delayMilliseconds: number;
    /** Bandwidth of each direction, shared by all connections; undefined for no limit. */
    bytesPerSecond?: number;
}

/** One direction of the link, which transmits one chunk at a time. */
interface LinkDirection {
    /** Time at which the transmission of all queued bytes ends. */
    freeAt: number;
}

const millisecondsPerSecond = 1000;

/**
 * Starts a link on loopback.
 *
 * @param options - the ports, the delay and the bandwidth
 * @param owner - stops the link when disposed of
 * @returns the running link
 */
export const createLinkStandIn = async (options: LinkOptions, owner: foundation.Owner): Promise<LinkStandIn> => {
    const sockets = new Set<net.Socket>();
    const interrupted = { forward: false, backward: false };
    const directions: { forward: LinkDirection; backward: LinkDirection; } = {
        forward: { freeAt: 0 },
        backward: { freeAt: 0 },
    };
    let transferredBytes = 0;
    let { delayMilliseconds } = options;

    // Waits for the bytes queued before, then adds the transmission time and the propagation delay.
    const deliveryDelayMilliseconds = (direction: LinkDirection, byteCount: number): number => {
        const now = performance.now();
        const transmissionMilliseconds = options.bytesPerSecond === undefined
            ? 0
            : byteCount * millisecondsPerSecond / options.bytesPerSecond;
        direction.freeAt = Math.max(direction.freeAt, now) + transmissionMilliseconds;
        return direction.freeAt - now + delayMilliseconds;
    };

    const forwardData = (
        source: net.Socket,
        destination: net.Socket,
        direction: LinkDirection,
        isInterrupted: () => boolean,
    ): void => {
        source.on("data", chunk => {
            const data = chunk as Buffer;
            transferredBytes += data.length;
            setTimeout(() => {
                if (!isInterrupted() && destination.writable) {
                    destination.write(data);
                }
            }, deliveryDelayMilliseconds(direction, data.length));
        });
        source.on("end", () => {
            setTimeout(() => {
                if (!isInterrupted()) {
                    destination.end();
                }
            }, deliveryDelayMilliseconds(direction, 0));
        });
        source.on("error", () => destination.destroy());
        source.on("close", () => {
            sockets.delete(source);
            setTimeout(() => destination.destroySoon(), deliveryDelayMilliseconds(direction, 0));
        });
    };

    const server = net.createServer({ allowHalfOpen: true }, incoming => {
        const outgoing = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true });
        incoming.setNoDelay(true);
        outgoing.setNoDelay(true);
        sockets.add(incoming);
        sockets.add(outgoing);
        forwardData(incoming, outgoing, directions.forward, () => interrupted.forward);
        forwardData(outgoing, incoming, directions.backward, () => interrupted.backward);
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
        setInterrupted: change => Object.assign(interrupted, change),
        setDelay: milliseconds => {
            delayMilliseconds = milliseconds;
        },
        reset: () => sockets.forEach(socket => socket.resetAndDestroy()),
        transferredBytes: () => transferredBytes,
    };
};
