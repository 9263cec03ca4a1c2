/** Stand-in for a link between regions: any TCP connection can be led through it, delayed, narrowed or cut. */
import { listenOn, type Owner } from "@mulberryseam/foundation";
import * as net from "node:net";
import { portOf } from "./httpServer";

/** A running link. */
export interface LinkStandIn {
    port: number;
    /** Cuts or mends the link; a cut one swallows what is sent, as a lost route does. */
    setCut: (cut: { forward: boolean; backward: boolean; }) => void;
    /** Bytes carried in both directions. */
    carriedBytes: () => number;
}

/** How a link behaves. */
export interface LinkOptions {
    port: number;
    targetHost: string;
    targetPort: number;
    delayMilliseconds: number;
}

/**
 * Starts a link on loopback.
 *
 * @param options - how the link behaves
 * @param owner - stops the link
 * @returns the running link
 */
export const createLinkStandIn = async (options: LinkOptions, owner: Owner): Promise<LinkStandIn> => {
    const sockets = new Set<net.Socket>();
    const cut = { forward: false, backward: false };
    let carried = 0;

    const carry = (from: net.Socket, to: net.Socket, isCut: () => boolean): void => {
        from.on("data", bytes => {
            const data = bytes as Buffer;
            carried += data.length;
            setTimeout(() => {
                if (!isCut() && to.writable) {
                    to.write(data);
                }
            }, options.delayMilliseconds);
        });
        from.on("end", () => {
            setTimeout(() => {
                if (!isCut()) {
                    to.end();
                }
            }, options.delayMilliseconds);
        });
        from.on("error", () => to.destroy());
        from.on("close", () => {
            sockets.delete(from);
            setTimeout(() => to.destroySoon(), options.delayMilliseconds);
        });
    };

    const server = net.createServer({ allowHalfOpen: true }, incoming => {
        const outgoing = net.connect({ host: options.targetHost, port: options.targetPort, allowHalfOpen: true });
        incoming.setNoDelay(true);
        outgoing.setNoDelay(true);
        sockets.add(incoming);
        sockets.add(outgoing);
        carry(incoming, outgoing, () => cut.forward);
        carry(outgoing, incoming, () => cut.backward);
    });
    await listenOn(server, "127.0.0.1", options.port);
    owner.onCleanup(() =>
        new Promise<void>(resolve => {
            sockets.forEach(socket => socket.destroy());
            server.close(() => resolve());
        })
    );
    return {
        port: portOf(server),
        setCut: change => Object.assign(cut, change),
        carriedBytes: () => carried,
    };
};
