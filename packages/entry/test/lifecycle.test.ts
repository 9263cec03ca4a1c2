/** What the log and the metrics of a process say about its start, its versions of the document and its stop. */
import * as foundation from "@mulberryseam/foundation";
import * as earl from "earl";
import * as http from "node:http";
import * as test from "node:test";
import * as metrics from "../src/metrics";
import * as entrySite from "./fixtures/entrySite";

test.describe("the life of a process", () => {
    test.it("is told by its log and metrics: program, changes of the document, connections and the signal", context => {
        const agent = new http.Agent({ keepAlive: true });
        context.after(() => agent.destroy());
        const startedAfter = Date.now() / 1000;
        return entrySite.withEntrySite({ instances: 1 }, async site => {
            const [instance] = site.instances;
            const { host, callerPort, child, events } = instance;
            const replaceRoute = (resources: entrySite.LogLine[]): void => {
                resources[0] = entrySite.createRoute("records", "safe", "additional");
            };
            await entrySite.waitUntil(() => events("document-in-force").length === 1, "the document is in force");
            site.publish(replaceRoute, 4);
            await entrySite.waitUntil(() => events("document-in-force").length === 2, "the next one is in force");
            const [started] = events("started");
            earl.expect([started.process, started.node]).toEqual([child.pid, process.version]);
            earl.expect(started.program).toEqual(foundation.programVersion);
            const [first, second] = events("document-in-force");
            earl.expect([first.version, first.routesAdded, first.addedRoutes]).toEqual([1, 2, "records,orders"]);
            earl.expect([second.version, second.previousVersion, second.source]).toEqual([4, 1, "store"]);
            earl.expect([second.addedRoutes, second.removedRoutes]).toEqual(["additional", "records"]);
            earl.expect([second.routesChanged, second.changedServices]).toEqual([0, undefined]);
            earl.expect(typeof second.maxAge).toEqual("number");

            const { status } = await entrySite.sendRequest({ host, port: callerPort, target: "/none/", agent });
            earl.expect(status).toEqual(404);
            const scrape = { host, port: metrics.metricsPort, target: "/metrics", agent };
            const { body } = await entrySite.sendRequest(scrape);
            earl.expect(body).toEqual(earl.expect.includes("mulberryseam_caller_connections 1\n"));
            const startTime = Number(/^mulberryseam_start_time_seconds (.*)$/m.exec(body)?.[1]);
            earl.expect(startTime >= startedAfter && startTime <= Date.now() / 1000).toEqual(true);

            child.kill("SIGTERM");
            await instance.exited();
            earl.expect(events("stopping").map(event => event.signal)).toEqual(["SIGTERM"]);
        });
    });
});
