/** Exceptions that must not end a process or starve the callbacks beside the one that throws. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as net from "node:net";
import * as test from "node:test";

const throwing = (): never => {
    throw new Error("thrown by the test");
};

test.describe("a timer service with a handler for exceptions", () => {
    test.it("does not end the process when a callback throws, and calls it at the next interval", async () => {
        const errors: unknown[] = [];
        const timers = foundation.createTimerService(error => errors.push(error));
        const delay = timers.onDelay(1, throwing);
        const interval = timers.onInterval(1, throwing);
        while (errors.length < 4) {
            await foundation.pause(timers, 1);
        }
        delay.cancel();
        interval.cancel();
        earl.expect((errors[0] as Error).message).toEqual("thrown by the test");
    });

    test.it("does not call back at once after a delay that is longer than timers can wait", async () => {
        const timers = foundation.createTimerService();
        let calls = 0;
        const subscriptions = [2 ** 31, 1e300, Infinity].map(delay => timers.onDelay(delay, () => calls += 1));
        await foundation.pause(timers, 20);
        subscriptions.forEach(subscription => subscription.cancel());
        earl.expect(calls).toEqual(0);
    });
});

test.describe("a shared interval", () => {
    test.it("calls the callbacks after one that throws, and passes the exception on", () => {
        const timers = foundation.createVirtualTimerService();
        const interval = foundation.createSharedInterval(timers, 10);
        let calls = 0;
        interval.add(throwing);
        interval.add(() => {
            calls += 1;
        });
        earl.expect(() => timers.advance(10)).toThrow("thrown by the test");
        earl.expect(() => timers.advance(10)).toThrow("thrown by the test");
        earl.expect(calls).toEqual(2);
    });
});

test.describe("a server", () => {
    test.it("does not end the process when a connection cannot be accepted", async () => {
        const errors: Error[] = [];
        const server = net.createServer();
        await foundation.listenOn(server, "127.0.0.1", 0, error => errors.push(error));
        server.emit("error", new Error("accept EMFILE"));
        server.emit("error", new Error("accept ECONNABORTED"));
        earl.expect(errors.map(({ message }) => message)).toEqual(["accept EMFILE", "accept ECONNABORTED"]);
        server.close();
    });
});

test.describe("the bytes of a connection", () => {
    test.it("are numbers when the connection was closed before they were counted", () => {
        const socket = { bytesWritten: undefined, bytesRead: undefined } as unknown as net.Socket;
        earl.expect(foundation.startTransfer(socket)()).toEqual({ sentBytes: 0, receivedBytes: 0 });
    });
});
