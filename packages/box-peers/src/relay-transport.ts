/** Transport of relayed exchanges between boxes: one gRPC call with raw frames per exchange. */
import {
  Client,
  type ClientDuplexStream,
  credentials,
  type MethodDefinition,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import type { Clock } from "@linkfall/kernel";
import type { FrameStream } from "@linkfall/relayed-exchange";
import type { Milliseconds } from "@linkfall/types";
import { channelOptions } from "./channel-options.js";

const sameBytes = (bytes: Buffer) => bytes;

export const relayMethod: MethodDefinition<Buffer, Buffer> = {
  path: "/linkfall.Boxes/Relay",
  requestStream: true,
  responseStream: true,
  requestSerialize: sameBytes,
  requestDeserialize: sameBytes,
  responseSerialize: sameBytes,
  responseDeserialize: sameBytes,
};

/** Opens streams to relays, on a connection per relay that heartbeats don't share. */
export interface RelayDialler {
  dial(peerAddress: string): FrameStream;
  close(): void;
}

/** A channel without an open call is closed after this time. */
const idleTimeoutMs: Milliseconds = 15_000;

interface Channel {
  readonly client: Client;
  openCalls: number;
  lastUsedAt: Milliseconds;
}

function toFrameStream(call: ClientDuplexStream<Buffer, Buffer>, onEnd: () => void): FrameStream {
  let closed = false;
  let notify: (reason: string) => void = () => undefined;
  const close = (reason: string) => {
    if (closed) return;
    closed = true;
    onEnd();
    notify(reason);
  };
  call.on("error", ({ message }) => close(message));
  call.on("end", () => close("the relay ended the stream"));
  return {
    write(frame) {
      if (!closed) call.write(frame);
    },
    end: () => call.end(),
    cancel() {
      notify = () => undefined;
      close("cancelled");
      call.cancel();
    },
    listen({ onFrame, onClosed }) {
      notify = onClosed;
      call.on("data", onFrame);
    },
  };
}

export function createRelayDialler(clock: Clock): RelayDialler {
  const channels = new Map<string, Channel>();

  const closeIdle = () => {
    const idleSince = clock.now() - idleTimeoutMs;
    for (const [address, { client, openCalls, lastUsedAt }] of channels) {
      if (openCalls > 0 || lastUsedAt >= idleSince) continue;
      client.close();
      channels.delete(address);
    }
  };
  const channelTo = (address: string): Channel => {
    closeIdle();
    const existing = channels.get(address);
    if (existing) return existing;
    const client = new Client(`ipv4:${address}`, credentials.createInsecure(), channelOptions);
    const channel = { client, openCalls: 0, lastUsedAt: clock.now() };
    channels.set(address, channel);
    return channel;
  };

  return {
    dial(peerAddress) {
      const channel = channelTo(peerAddress);
      channel.openCalls += 1;
      channel.lastUsedAt = clock.now();
      const call = channel.client.makeBidiStreamRequest(relayMethod.path, sameBytes, sameBytes);
      return toFrameStream(call, () => {
        channel.openCalls -= 1;
        channel.lastUsedAt = clock.now();
      });
    },
    close() {
      for (const { client } of channels.values()) client.close();
      channels.clear();
    },
  };
}

/** Wraps a call from another box. */
export function serveRelayCall(call: ServerDuplexStream<Buffer, Buffer>): FrameStream {
  let closed = false;
  return {
    write(frame) {
      if (!closed && call.writable) call.write(frame);
    },
    end() {
      closed = true;
      call.end();
    },
    cancel() {
      closed = true;
      call.destroy();
    },
    listen({ onFrame, onClosed }) {
      const close = (reason: string) => {
        if (closed) return;
        closed = true;
        onClosed(reason);
      };
      call.on("data", onFrame);
      call.on("cancelled", () => close("the call was cancelled"));
      call.on("error", ({ message }: Error) => close(message));
      call.on("end", () => close("the other box ended the stream"));
    },
  };
}
