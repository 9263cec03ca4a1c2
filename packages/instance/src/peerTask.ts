/** Maintains a connection to every peer and exchanges messages with them. */
import * as configuration from "@mulberryseam/configuration";
import * as foundation from "@mulberryseam/foundation";
import * as protocol from "@mulberryseam/protocol";

/** Configures the peer task. */
export interface PeerTaskOptions {
    host: string;
    port: number;
    hello: protocol.Hello;
    credentials: protocol.PeerCredentials | undefined;
    timers: foundation.TimerService;
    logger: foundation.Logger;
    /**
     * Handles a message. `reply` responds on the connection on which the message arrived, and does nothing on a
     * connection that this instance opened.
     */
    onMessage: (sender: protocol.Hello, message: protocol.Message, reply: (response: protocol.Message) => void) => void;
}

/** Exchanges messages with peers. */
export interface PeerTask {
    /** Sends a message to a peer, by name. Delivery is not guaranteed. */
    send: (peer: string, message: protocol.Message) => void;
    /** Sets the addresses of all peers, by name, and disconnects from every other peer. */
    setPeers: (addresses: ReadonlyMap<string, string>) => void;
}

interface PeerConnection {
    address: string;
    client: protocol.PeerClient;
    owner: foundation.Owner;
}

/**
 * Starts listening for peers.
 *
 * @param options - the address to listen on, the identity of this instance and the message handler
 * @param owner - closes the server and every connection when disposed of
 * @returns the task once it is listening
 */
export const createPeerTask = async (options: PeerTaskOptions, owner: foundation.Owner): Promise<PeerTask> => {
    const connections = new Map<string, PeerConnection>();

    const connect = (address: string): PeerConnection | undefined => {
        const parsedAddress = configuration.parseAddress(address);
        if (parsedAddress === undefined) {
            return undefined;
        }
        const peerOwner = foundation.createOwner();
        const client = protocol.createPeerClient({
            ...parsedAddress,
            hello: options.hello,
            credentials: options.credentials,
            timers: options.timers,
            logger: options.logger,
            onMessage: (message, sender) => options.onMessage(sender, message, () => undefined),
        }, peerOwner);
        return { address, client, owner: peerOwner };
    };

    const disconnect = (peer: string): void => {
        const connection = connections.get(peer);
        connections.delete(peer);
        void connection?.owner.dispose();
    };

    await protocol.createPeerServer({
        host: options.host,
        port: options.port,
        hello: options.hello,
        credentials: options.credentials,
        logger: options.logger,
        onMessage: (message, reply, sender) => options.onMessage(sender, message, reply),
    }, owner);
    owner.onCleanup(() => [...connections.keys()].forEach(disconnect));

    return {
        send: (peer, message) => connections.get(peer)?.client.send(message),
        setPeers: addresses => {
            for (const [peer, connection] of connections) {
                if (addresses.get(peer) !== connection.address) {
                    disconnect(peer);
                }
            }
            for (const [peer, address] of addresses) {
                const connection = connections.has(peer) ? undefined : connect(address);
                if (connection !== undefined) {
                    connections.set(peer, connection);
                }
            }
        },
    };
};
