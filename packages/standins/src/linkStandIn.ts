/** Stand-in for a network link between regions: a TCP proxy with configurable delay, bandwidth and interruptions. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";
import * as httpServer from "./httpServer";

/** Which new connections a link refuses. */
export const LinkRefusal = {
    none: "none",
    /** Every second one is accepted and reset, as if only some callers were refused. */
    alternating: "alternating",
    /** Nothing listens at the port, so that each connection is refused. */
    all: "all",
} as const;

/** A value of {@link LinkRefusal}. */
export type LinkRefusalValue = typeof LinkRefusal[keyof typeof LinkRefusal];

/** A running link. */
export interface LinkStandIn {
    port: number;
    /** Interrupts or restores each direction. An interrupted direction silently drops data, as a lost route does. */
    setInterrupted: (interrupted: { forward: boolean; backward: boolean; }) => void;
    /** Sets the propagation delay of each direction. */
    setDelay: (milliseconds: number) => void;
    /** Refuses new connections and resets the open ones, or accepts every connection again. */
    setRefusal: (refusal: LinkRefusalValue) => void;
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
const listenRetryMilliseconds = 50;

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
        const passReset = (): void => {
            setTimeout(() => foundation.resetConnection(destination), deliveryDelayMilliseconds(direction, 0));
        };
        source.on("end", () => {
            // A connection whose own end was sent before is closed by a regular end, too.
            if (!source.writableEnded && !isInterrupted() && !foundation.judgeEnd(source).isRegular) {
                passReset();
                return;
            }
            setTimeout(() => {
                if (!isInterrupted()) {
                    destination.end();
                }
            }, deliveryDelayMilliseconds(direction, 0));
        });
        source.on("error", error => {
            if ((error as NodeJS.ErrnoException).code === "ECONNRESET" && !isInterrupted()) {
                passReset();
                return;
            }
            setTimeout(() => destination.destroy(), deliveryDelayMilliseconds(direction, 0));
        });
        source.on("close", () => {
            sockets.delete(source);
            setTimeout(() => destination.destroySoon(), deliveryDelayMilliseconds(direction, 0));
        });
    };

    let refusal: LinkRefusalValue = LinkRefusal.none;
    let connectionCount = 0;
    const server = net.createServer({ allowHalfOpen: true }, incoming => {
        connectionCount += 1;
        if (refusal === LinkRefusal.alternating && connectionCount % 2 === 0) {
            incoming.on("error", () => undefined);
            foundation.resetConnection(incoming);
            return;
        }
        const outgoing = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true });
        incoming.setNoDelay(true);
        outgoing.setNoDelay(true);
        sockets.add(incoming);
        sockets.add(outgoing);
        forwardData(incoming, outgoing, directions.forward, () => interrupted.forward);
        forwardData(outgoing, incoming, directions.backward, () => interrupted.backward);
    });
    await foundation.listenOn(server, "127.0.0.1", options.port);
    const port = httpServer.portOf(server);
    const closeIfRefused = (): void => {
        if (refusal === LinkRefusal.all) {
            server.close();
        }
    };
    // Another process may have taken the port in the meantime.
    const listenAgain = async (): Promise<void> => {
        while (!server.listening && refusal !== LinkRefusal.all && !owner.isDisposed()) {
            try {
                await foundation.listenOn(server, "127.0.0.1", port);
                closeIfRefused();
            }
            catch {
                await new Promise(resolve => setTimeout(resolve, listenRetryMilliseconds));
            }
        }
    };
    let lastListening = Promise.resolve();
    owner.onCleanup(async () => {
        await lastListening;
        sockets.forEach(socket => socket.destroy());
        await new Promise<void>(resolve => server.close(() => resolve()));
    });
    const reset = (): void => sockets.forEach(foundation.resetConnection);
    return {
        port,
        setRefusal: newRefusal => {
            refusal = newRefusal;
            closeIfRefused();
            if (refusal === LinkRefusal.none) {
                lastListening = lastListening.then(listenAgain);
            }
            else {
                reset();
            }
        },
        setInterrupted: change => Object.assign(interrupted, change),
        setDelay: milliseconds => {
            delayMilliseconds = milliseconds;
        },
        reset,
        transferredBytes: () => transferredBytes,
    };
};
