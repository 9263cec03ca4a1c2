/** Reserves free ports and networks on loopback, also against other processes that reserve them with this module. */
import * as foundation from "@mulberryseam/foundation";
import * as crypto from "node:crypto";
import * as net from "node:net";

const defaultHost = "127.0.0.1";
const minPort = 12_000;
/** Below the ephemeral ports, so that no outgoing connection takes a reserved port. */
const maxPort = 30_000;
/** Ports of a block; a process holds the first one as long as it runs, and so has the others for itself. */
const blockSize = 100;
const blockCount = (maxPort - minPort) / blockSize;

/** Networks 127.a.b, of which a run holds an address that no instance uses; below are those of fixed addresses. */
const minNetwork = 64;
const maxNetwork = 255;
const heldHost = 254;
const heldPort = minPort - 1;
const maxNetworkAttempts = 1000;

/** Listens on a port; clients that connect are disconnected, so that none keeps the server from closing. */
const tryListen = async (port: number, host: string): Promise<net.Server | undefined> => {
    const server = net.createServer(socket => socket.destroy());
    try {
        // A connection that cannot be accepted changes nothing: the server would end it anyway.
        await foundation.listenOn(server, host, port, () => undefined);
        return server;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "EADDRINUSE") {
            return undefined;
        }
        throw error;
    }
};

const close = (server: net.Server): Promise<void> => new Promise(resolve => server.close(() => resolve()));

const isFree = async (port: number, host: string): Promise<boolean> => {
    const server = await tryListen(port, host);
    if (server !== undefined) {
        await close(server);
    }
    return server !== undefined;
};

/** First ports of the blocks of this process. */
const ownBlocks: number[] = [];
const unusedPorts: number[] = [];

const portsOf = (block: number): number[] => Array.from({ length: blockSize - 1 }, (...[, index]) => block + 1 + index);

const tryHoldBlock = async (block: number): Promise<boolean> => {
    if (ownBlocks.includes(block)) {
        return false;
    }
    const server = await tryListen(block, defaultHost);
    server?.unref();
    return server !== undefined;
};

/** Adds the ports of a block that no process holds; if there is none, those of the own blocks, of which some may be free again. */
const addPorts = async (): Promise<void> => {
    const first = crypto.randomInt(blockCount);
    for (let index = 0; index < blockCount; index += 1) {
        const block = minPort + (first + index) % blockCount * blockSize;
        if (await tryHoldBlock(block)) {
            ownBlocks.push(block);
            unusedPorts.push(...portsOf(block));
            return;
        }
    }
    unusedPorts.push(...ownBlocks.flatMap(portsOf));
};

const findPorts = async (count: number, host: string): Promise<number[]> => {
    const ports: number[] = [];
    const maxChecks = count + 2 * (maxPort - minPort);
    for (let checks = 0; checks < maxChecks && ports.length < count; checks += 1) {
        if (unusedPorts.length === 0) {
            await addPorts();
        }
        const port = unusedPorts.shift();
        if (port !== undefined && !ports.includes(port) && await isFree(port, host)) {
            ports.push(port);
        }
    }
    if (ports.length < count) {
        throw new Error(`no ${count} free ports on ${host}`);
    }
    return ports;
};

let lastReservation: Promise<unknown> = Promise.resolve();

/**
 * Finds free ports.
 *
 * @param count - the number of ports
 * @param host - the loopback address on which the ports must be free
 * @returns distinct ports that were free when checked; this process gets them again only when there are no others
 * @throws if there are not as many free ports
 */
export const reservePorts = (count: number, host = defaultHost): Promise<number[]> => {
    const reservation = lastReservation.then(() => findPorts(count, host));
    lastReservation = reservation.catch(() => undefined);
    return reservation;
};

/**
 * Finds a network of loopback addresses that no other run uses.
 *
 * @param owner - makes the network available to others when disposed
 * @returns the first three octets of its IPv4 addresses; the fourth ones 1 to 253 may be used
 * @throws if no network is available
 */
export const reserveNetwork = async (owner: foundation.Owner): Promise<string> => {
    for (let attempt = 0; attempt < maxNetworkAttempts; attempt += 1) {
        const network = `127.${crypto.randomInt(minNetwork, maxNetwork)}.${crypto.randomInt(256)}`;
        const server = await tryListen(heldPort, `${network}.${heldHost}`);
        if (server !== undefined) {
            owner.onCleanup(() => close(server));
            return network;
        }
    }
    throw new Error("no network on loopback is available");
};
