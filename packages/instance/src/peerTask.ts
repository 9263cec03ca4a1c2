/** Keeps connections with all peers and carries messages. */
import * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";

/** How peers are reached. */
export interface PeerTaskOptions {
    host: string;
    port: number;
    hello: protocol.Hello;
    credentials: protocol.PeerCredentials | undefined;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    /** Takes a message; `reply` answers on the connection it came by. */
    onMessage: (sender: protocol.Hello, message: protocol.Message, reply: (answer: protocol.Message) => void) => void;
}

/** Carries messages to peers. */
export interface PeerTask {
    send: (peer: string, message: protocol.Message) => void;
    /** Sets who the peers are, name to address. */
    setPeers: (addresses: ReadonlyMap<string, string>) => void;
}

interface Connected {
    address: string;
    client: protocol.PeerClient;
    owner: foundation.Owner;
}

/**
 * Starts to listen for peers.
 *
 * @param options - how peers are reached
 * @param owner - ends every connection
 * @returns the task, listening
 */
export const createPeerTask = async (options: PeerTaskOptions, owner: foundation.Owner): Promise<PeerTask> => {
    const peers = new Map<string, Connected>();

    const connect = (address: string): Connected | undefined => {
        const parsed = configuration.parseAddress(address);
        if (parsed === undefined) {
            return undefined;
        }
        const peerOwner = foundation.createOwner();
        const client = protocol.createPeerClient({
            ...parsed,
            hello: options.hello,
            credentials: options.credentials,
            timers: options.timers,
            logger: options.logger,
            onMessage: (message, sender) => options.onMessage(sender, message, () => undefined),
        }, peerOwner);
        return { address, client, owner: peerOwner };
    };

    const disconnect = (peer: string): void => {
        const connected = peers.get(peer);
        peers.delete(peer);
        void connected?.owner.dispose();
    };

    await protocol.createPeerServer({
        host: options.host,
        port: options.port,
        hello: options.hello,
        credentials: options.credentials,
        logger: options.logger,
        onMessage: (message, reply, sender) => options.onMessage(sender, message, reply),
    }, owner);
    owner.onCleanup(() => [...peers.keys()].forEach(disconnect));

    return {
        send: (peer, message) => peers.get(peer)?.client.send(message),
        setPeers: addresses => {
            for (const [peer, connected] of peers) {
                if (addresses.get(peer) !== connected.address) {
                    disconnect(peer);
                }
            }
            for (const [peer, address] of addresses) {
                const connected = peers.has(peer) ? undefined : connect(address);
                if (connected !== undefined) {
                    peers.set(peer, connected);
                }
            }
        },
    };
};
