/** Reservation of ports and networks on loopback beside other processes. */
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as childProcess from "node:child_process";
import * as net from "node:net";
import * as test from "node:test";

/** Maximum wait for a reservation, in milliseconds; only one that hangs reaches it. */
const maxWaitMilliseconds = 5000;

const rejectLate = (): { late: Promise<never>; cancel: () => void; } => {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((...[, reject]) => {
        timer = setTimeout(() => reject(new Error("the reservation did not end")), maxWaitMilliseconds);
    });
    return { late, cancel: () => clearTimeout(timer) };
};

/** Maximum time that a process runs, in milliseconds; only one that hangs reaches it. */
const maxProgramMilliseconds = 30_000;

/** Whether a run holds a network at one of its addresses. */
const isListening = (host: string): Promise<boolean> =>
    new Promise(resolve => {
        const socket = net.connect(11_999, host);
        socket.once("connect", () => resolve(true));
        socket.on("error", () => resolve(false));
    });

/** Connects a silent client to each server that is about to close. */
const connectBeforeClose = (context: test.TestContext, clients: net.Socket[]): void => {
    const { close } = net.Server.prototype;
    context.mock.method(net.Server.prototype, "close", function closeLate(this: net.Server, done: () => void) {
        const address = this.address() as net.AddressInfo;
        this.once("connection", () => close.call(this, done));
        clients.push(net.connect(address.port, address.address).on("error", () => undefined));
        return this;
    });
};

test.describe("reserved ports", () => {
    test.it("do not wait for a client that connects while a port is checked and stays silent", async context => {
        const clients: net.Socket[] = [];
        const { late, cancel } = rejectLate();
        connectBeforeClose(context, clients);
        try {
            earl.expect((await Promise.race([site.reservePorts(2), late])).length).toEqual(2);
            earl.expect(clients.length >= 2).toEqual(true);
        }
        finally {
            cancel();
            context.mock.restoreAll();
            clients.forEach(client => client.destroy());
        }
    });

    test.it("are distinct in processes that reserve them at the same time", async () => {
        const script = "const site = require('@mulberryseam/site');"
            + "site.reservePorts(50).then(ports => process.stdout.write(JSON.stringify(ports)));"
            + "process.stdin.resume();";
        const children = Array.from(
            { length: 3 },
            () =>
                childProcess.spawn(process.execPath, ["--import", "tsx", "--eval", script], {
                    stdio: ["pipe", "pipe", "inherit"],
                    timeout: maxProgramMilliseconds,
                }),
        );
        try {
            const texts = await Promise.all(children.map(child =>
                new Promise<string>((resolve, reject) => {
                    child.stdout.once("data", chunk => resolve(String(chunk)));
                    child.once("close", () => reject(new Error("a process ended without ports")));
                })
            ));
            const ports = [...texts.flatMap(text => JSON.parse(text) as number[]), ...await site.reservePorts(50)];
            earl.expect(ports.length).toEqual(200);
            earl.expect(new Set(ports).size).toEqual(200);
        }
        finally {
            // The end of its input ends each process, whose held port must not keep it.
            const closed = children.map(child => new Promise(resolve => child.once("close", resolve)));
            children.forEach(child => child.stdin.end());
            earl.expect(await Promise.all(closed)).toEqual([0, 0, 0]);
        }
    });
});

test.describe("a reserved network", () => {
    test.it("is given to one run at a time", async () => {
        const owner = foundation.createOwner();
        try {
            const network = await site.reserveNetwork(owner);
            const [host, other] = [`${network}.254`, `${network}.1`];
            earl.expect(await isListening(host)).toEqual(true);
            earl.expect((await site.reservePorts(2, other)).length).toEqual(2);
            await owner.dispose();
            earl.expect(await isListening(host)).toEqual(false);
        }
        finally {
            await owner.dispose();
        }
    });
});
