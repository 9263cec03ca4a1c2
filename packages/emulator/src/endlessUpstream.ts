/** Emulates an upstream in trouble, which sends bytes without end until the connection is closed. */
import * as foundation from "@mulberryseam/foundation";
import * as net from "node:net";

/** A running upstream that sends bytes without end. */
export interface EndlessUpstream {
    port: number;
    /** Number of bytes handed to the network so far. */
    sentBytes: () => number;
    openConnectionCount: () => number;
    /** Whether a connection stayed open until the limit of repetitions, at which the upstream itself closes it. */
    isExhausted: () => boolean;
}

/** Configures an upstream that sends bytes without end. */
export interface EndlessUpstreamOptions {
    /** Returns what it sends first; `requestIdentifier` is that of the request, or empty if it has none. */
    start: (requestIdentifier: string) => string;
    /** What it then repeats. */
    repeated: string;
    /** Interval between repetitions, in milliseconds; by default it sends as fast as the receiver reads. */
    intervalMilliseconds?: number;
    /** Repetitions after which it closes a connection, so that its traffic is bounded; 8192 by default. */
    maxRepetitions?: number;
}

const defaultMaxRepetitions = 8192;
const identifierPattern = /^request-id: *(.*)\r$/im;

/**
 * Starts an upstream on a free port of 127.0.0.1, which responds to the first bytes of each connection.
 *
 * @param options - the bytes that it sends
 * @param owner - stops the upstream on cleanup
 * @returns the running upstream
 */
export const startEndlessUpstream = async (
    options: EndlessUpstreamOptions,
    owner: foundation.Owner,
): Promise<EndlessUpstream> => {
    const sockets = new Set<net.Socket>();
    let sentBytes = 0;
    let isExhausted = false;
    const send = (socket: net.Socket, text: string): boolean => {
        sentBytes += text.length;
        return socket.write(text);
    };
    const sendRepeatedly = (socket: net.Socket): void => {
        let repetitions = 0;
        const repeat = (): boolean => {
            repetitions += 1;
            if (repetitions > (options.maxRepetitions ?? defaultMaxRepetitions)) {
                isExhausted = true;
                socket.destroy();
            }
            return !socket.destroyed && send(socket, options.repeated);
        };
        if (options.intervalMilliseconds !== undefined) {
            const interval = setInterval(repeat, options.intervalMilliseconds);
            socket.once("close", () => clearInterval(interval));
            return;
        }
        const fill = (): void => {
            while (repeat()) {
                // Continues until the receiver's window is full.
            }
        };
        socket.on("drain", fill);
        fill();
    };
    const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
        socket.once("data", data => {
            send(socket, options.start(identifierPattern.exec(data.toString())?.[1] ?? ""));
            sendRepeatedly(socket);
        });
    });
    await foundation.listenOn(server, "127.0.0.1", 0);
    owner.onCleanup(() => {
        server.close();
        for (const socket of sockets) {
            socket.destroy();
        }
    });
    return {
        port: (server.address() as net.AddressInfo).port,
        sentBytes: () => sentBytes,
        openConnectionCount: () => sockets.size,
        isExhausted: () => isExhausted,
    };
};
