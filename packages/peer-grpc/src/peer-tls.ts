/** Credentials of the peer protocol: TLS with certificates on both sides, or plain TCP. */
import { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";

/** PEM texts. */
export interface PeerTls {
  readonly cert: string;
  readonly key: string;
  /** Authority that the other side's certificate is checked against. */
  readonly ca: string;
}

export function clientCredentials(tls?: PeerTls): ChannelCredentials {
  if (!tls) return ChannelCredentials.createInsecure();
  return ChannelCredentials.createSsl(
    Buffer.from(tls.ca),
    Buffer.from(tls.key),
    Buffer.from(tls.cert),
  );
}

export function serverCredentials(tls?: PeerTls): ServerCredentials {
  if (!tls) return ServerCredentials.createInsecure();
  const pair = { private_key: Buffer.from(tls.key), cert_chain: Buffer.from(tls.cert) };
  return ServerCredentials.createSsl(Buffer.from(tls.ca), [pair], true);
}
