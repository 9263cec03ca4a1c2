/** The operators' document of the cases: a keyed service, a service for orders and a service for uploads. */

const route = (name, service, routeType, timeout, targetLatency) => ({
    resourceType: "routes",
    metadata: { name },
    spec: { host: "site.example", pathPrefix: `/${name}/`, routeType, timeout, targetLatency, priority: 1, maxAttempts: 2, service },
});

const service = (name, isSharded) => ({
    resourceType: "services",
    metadata: { name },
    spec: { maxConnections: 46, healthPath: "/health", ...(isSharded ? { sharded: true } : {}) },
});

export const document = JSON.stringify({
    version: "r1",
    resources: [
        route("lookup", "roster-read", "safe", "1200ms", "500ms"),
        route("booking", "booking-desk", "unsafe", "1500ms", "600ms"),
        route("media", "fitting-files", "upload", "10s", "5s"),
        service("roster-read", true),
        service("booking-desk", false),
        service("fitting-files", false),
        {
            resourceType: "limits",
            metadata: { name: "limits" },
            spec: { maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeout: "3s", idleTimeout: "15s" },
        },
    ],
});
