/** Another writer puts one entry into the registry whose address cannot be read: its port is beyond 65535. */
import * as lost from "../harness/lost.mjs";
import { hasTrouble, runCase } from "../harness/runCase.mjs";

await runCase(import.meta.dirname, record =>
    lost.runLostCheck({
        record,
        hasTrouble,
        troubleMilliseconds: 8000,
        callersPerInstance: 10,
        slots: 6,
        serviceMilliseconds: 100,
        disturb: store => {
            record("another writer puts the entry desk-9 with the address 127.0.0.1:80800");
            store.put(
                "keyed.servers",
                "desk-9",
                JSON.stringify({
                    service: "booking-desk",
                    address: "127.0.0.1:80800",
                    zone: "lautoka-a",
                    version: "v1",
                    slots: 6,
                    state: "ready",
                    warmupLeft: "0ms",
                    sequence: 1,
                    born: Date.now(),
                }),
            );
            // The store removes an entry after three intervals of silence.
            setTimeout(() => store.put("keyed.servers", "desk-9", ""), 4500);
        },
    }));
