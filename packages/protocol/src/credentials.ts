/** Credentials for mutual TLS between instances. */

/** Private key, certificate and certificate authority in PEM format; both sides of a connection authenticate. */
export interface PeerCredentials {
    key: string;
    certificate: string;
    authority: string;
}
