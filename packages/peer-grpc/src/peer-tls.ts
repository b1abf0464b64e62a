/** Credentials for connections between boxes: mutual TLS, or plain TCP. */
import { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";

/** Certificates and key in PEM format. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  /** Certificate authority that verifies the other box's certificate. */
  readonly ca: string;
}

/** Credentials of the client side; insecure without `tls`. */
export function clientCredentials(tls?: PeerTls): ChannelCredentials {
  if (!tls) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(
    Buffer.from(tls.ca),
    Buffer.from(tls.key),
    Buffer.from(tls.cert),
  );
}

/** Credentials of the server side, which require a client certificate; insecure without `tls`. */
export function serverCredentials(tls?: PeerTls): ServerCredentials {
  if (!tls) return ServerCredentials.createInsecure();
  const pair = { private_key: Buffer.from(tls.key), cert_chain: Buffer.from(tls.cert) };
  return ServerCredentials.createSsl(Buffer.from(tls.ca), [pair], true);
}
