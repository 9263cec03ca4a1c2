/** Documents that the operator publishes in the store. */

/** Creates a route. */
export const createRoute = (name, host, pathPrefix, routeType, service, timeout) => ({
    resourceType: "routes",
    metadata: { name },
    spec: { host, pathPrefix, routeType, timeout, targetLatency: "1s", priority: 0, maxAttempts: 2, service },
});

/** Creates a service. */
export const createService = (name, isKeyed) => ({
    resourceType: "services",
    metadata: { name },
    spec: { maxConnections: 110, healthPath: "/health", ...(isKeyed ? { sharded: true } : {}) },
});

/** Publishes a document. */
export const publish = (store, version, resources) =>
    store.put(
        "keyed.op",
        "config",
        JSON.stringify({
            version: `r${version}`,
            resources: [
                ...resources,
                {
                    resourceType: "limits",
                    metadata: { name: "limits" },
                    spec: {
                        maxHeaderBytes: 16_384,
                        maxBodyBytes: 8_388_608,
                        headerTimeout: "3s",
                        idleTimeout: "10s",
                    },
                },
            ],
        }),
    );
