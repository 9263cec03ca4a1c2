/** What the log and the metrics of a process say about its start, its versions of the document and its stop. */
import * as emulator from "@mulberryseam/emulator";
import * as foundation from "@mulberryseam/foundation";
import * as site from "@mulberryseam/site";
import * as earl from "earl";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as test from "node:test";
import * as metrics from "../src/metrics";

const host = "127.0.0.3";
/** Maximum wait for any condition, in milliseconds; it only stops a test that hangs. */
const maxWaitMilliseconds = 60_000;
const pollMilliseconds = 50;

type Event = Record<string, unknown>;

interface Process {
    child: childProcess.ChildProcess;
    callerPort: number;
    events: (name: string) => Event[];
}

const startProcess = async (storePort: number, owner: foundation.Owner): Promise<Process> => {
    const [callerPort, readinessPort, peerPort] = await site.reservePorts(3, host);
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "mulberryseam-entry-"));
    const file = path.join(folder, "settings.json");
    fs.writeFileSync(
        file,
        JSON.stringify({
            nodeName: "entry-1",
            ip: host,
            zone: "north-a",
            zones: { "north-a": "north" },
            internalPorts: [peerPort, peerPort + 10],
            listen: { front: `${host}:${callerPort}`, ready: `${host}:${readinessPort}` },
            bounds: {},
            platform: { address: `127.0.0.1:${storePort}` },
        }),
    );
    const child = childProcess.spawn(process.execPath, ["--import", "tsx", "packages/entry/src/main.ts"], {
        env: { ...process.env, MULBERRYSEAM_SETTINGS: file },
        stdio: ["ignore", "pipe", "inherit"],
    });
    let output = "";
    child.stdout?.on("data", chunk => {
        output += String(chunk);
    });
    owner.onCleanup(() => {
        child.kill("SIGKILL");
        fs.rmSync(folder, { recursive: true });
    });
    const events = (name: string): Event[] =>
        output.split("\n").slice(0, -1).map(line => JSON.parse(line) as Event).filter(event => event.event === name);
    return { child, callerPort, events };
};

const createRoute = (name: string): object => ({
    resourceType: "routes",
    metadata: { name },
    spec: {
        host: "a.example",
        pathPrefix: `/${name}/`,
        routeType: "safe",
        timeout: "1s",
        targetLatency: "500ms",
        priority: 0,
        maxAttempts: 2,
        service: "orders",
    },
});

const createDocument = (version: number, routes: readonly string[]): string =>
    JSON.stringify({
        version: `r${version}`,
        resources: [
            ...routes.map(createRoute),
            { resourceType: "services", metadata: { name: "orders" }, spec: { maxConnections: 10 } },
        ],
    });

const get = (port: number, target: string, agent: http.Agent): Promise<string> =>
    new Promise((resolve, reject) => {
        const request = http.get({ host, port, path: target, agent }, response => {
            let text = "";
            response.on("data", chunk => {
                text += String(chunk);
            });
            response.on("end", () => resolve(text));
        });
        request.on("error", reject);
    });

const waitUntil = async (condition: () => boolean): Promise<void> => {
    const deadline = performance.now() + maxWaitMilliseconds;
    while (!condition()) {
        earl.expect(performance.now() < deadline).toEqual(true);
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
};

test.describe("the life of a process", () => {
    test.it("is told by its log and metrics: program, changes of the document, connections and the signal", async () => {
        const owner = foundation.createOwner();
        const agent = new http.Agent({ keepAlive: true });
        try {
            const startedAfter = Date.now() / 1000;
            const store = await emulator.startEmulatedStore(owner);
            store.put("keyed.op", "config", createDocument(1, ["a", "b"]));
            const instance = await startProcess(store.port, owner);
            await waitUntil(() => instance.events("document-in-force").length === 1);
            store.put("keyed.op", "config", createDocument(4, ["b", "c"]));
            await waitUntil(() => instance.events("document-in-force").length === 2);
            const [started] = instance.events("started");
            earl.expect([started.process, started.node]).toEqual([instance.child.pid, process.version]);
            earl.expect(started.program).toEqual(foundation.programVersion);
            const [first, second] = instance.events("document-in-force");
            earl.expect([first.version, first.routesAdded, first.addedRoutes]).toEqual([1, 2, "a,b"]);
            earl.expect([second.version, second.previousVersion, second.source]).toEqual([4, 1, "store"]);
            earl.expect([second.addedRoutes, second.removedRoutes]).toEqual(["c", "a"]);
            earl.expect([second.routesChanged, second.changedServices]).toEqual([0, undefined]);
            earl.expect(typeof second.maxAge).toEqual("number");

            await get(instance.callerPort, "/none/", agent);
            const text = await get(metrics.metricsPort, "/metrics", agent);
            earl.expect(text).toEqual(earl.expect.includes("mulberryseam_caller_connections 1\n"));
            const startTime = Number(/^mulberryseam_start_time_seconds (.*)$/m.exec(text)?.[1]);
            earl.expect(startTime >= startedAfter && startTime <= Date.now() / 1000).toEqual(true);

            const hasExited = new Promise(resolve => instance.child.once("exit", resolve));
            instance.child.kill("SIGTERM");
            await hasExited;
            earl.expect(instance.events("stopping").map(event => event.signal)).toEqual(["SIGTERM"]);
        }
        finally {
            agent.destroy();
            await owner.dispose();
        }
    });
});
