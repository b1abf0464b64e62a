/** The relay's side of relayed exchanges: opens them directly for boxes that are cut off, and never relays on. */
import type { TargetUnreachable } from "@linkfall/errors";
import type { Clock } from "@linkfall/kernel";
import type { Exchange, ExchangeListener, OpenExchange } from "@linkfall/raw-exchange";
import type { Milliseconds } from "@linkfall/types";
import { createDirectPath, type DirectPath, type ExchangeReach } from "./direct-path.js";
import type { FrameStream } from "./frame-stream.js";
import { decodeFrame, encodeFrame, type Frame, type OpenFrame } from "./frames.js";

/** What the relay knows of a target: its address, or why it must get no request now. */
export type TargetLookup =
  | { readonly kind: "address"; readonly address: string }
  | { readonly kind: "declined"; readonly reason: string };

export interface RelayPorts {
  readonly clock: Clock;
  readonly reach: ExchangeReach;
  readonly openDirect: OpenExchange;
  /** Whether this box currently relays, thus reaches targets and is not stopping; asked again before a request is sent. */
  relays(): boolean;
  /** Looks up an incarnation of a target in this box's own view. */
  find(target: string, born?: number): TargetLookup;
  /** Whether the target at `host:port` refuses connections. */
  refusesConnections(address: string): Promise<boolean>;
  /** Called when a relayed exchange has ended. */
  onEnd(end: RelayEnd): void;
}

/** How a relayed exchange ended at the relay. */
export type RelayEnd = "complete" | "refused" | "not_sent" | "lost" | "cancelled";

export interface Relay {
  /** Serves one relayed exchange on the stream. */
  accept(stream: FrameStream): void;
  /** Number of relayed exchanges that have not ended. */
  openExchanges(): number;
}

/** Maximum number of relayed exchanges at the same time, which bounds their memory. */
const maxExchanges = 512;
/** Maximum size of a request body that is relayed. */
const maxBodyBytes = 16 * 1024 * 1024;
/** Maximum size of all request bodies of relayed exchanges together. */
const maxAllBodiesBytes = 64 * 1024 * 1024;
/** Response bytes that may be sent before the other box has passed them on. */
const creditBytes = 64 * 1024;
/** Time within which the other box has to hand over the request once the target is connected. */
const handOverTimeoutMs: Milliseconds = 2_000;

const failure = (
  reason: string,
  mayHaveArrived: boolean,
  cause?: TargetUnreachable["cause"],
): TargetUnreachable => ({ kind: "target_unreachable", reason, mayHaveArrived, cause });

const doesNotRelay = failure("the relay does not relay now", false, "relay");

interface Load {
  exchanges: number;
  bodyBytes: number;
}

/** Returns why the exchange cannot be opened, or the address of its target. */
function admit(ports: RelayPorts, load: Load, open: OpenFrame): TargetUnreachable | string {
  const { bodyBytes, target, born } = open;
  if (!ports.relays()) return doesNotRelay;
  const isSize = Number.isInteger(bodyBytes) && bodyBytes >= 0;
  if (!isSize || bodyBytes > maxBodyBytes)
    return failure("the body is too large for a relay", false, "relay");
  const isFull = load.exchanges >= maxExchanges || load.bodyBytes + bodyBytes > maxAllBodiesBytes;
  if (isFull) return failure("the relay has too many exchanges", false, "relay");
  const found = ports.find(target, born);
  return found.kind === "address" ? found.address : failure(found.reason, false, "declined");
}

/** One relayed exchange. */
function serve(ports: RelayPorts, direct: DirectPath, load: Load, stream: FrameStream): void {
  const { clock } = ports;
  let done = false;
  let exchange: Exchange | undefined;
  let connected = false;
  let address = "";
  let body = Buffer.alloc(0);
  let receivedBytes = 0;
  let unconsumedBytes = 0;
  let paused = false;
  let handOver: () => void = () => undefined;
  const handedOver = new Promise<void>((resolve) => (handOver = resolve));
  let cancelHandOverTimer: () => void = () => undefined;
  let release: () => void = () => undefined;

  const write = (frame: Frame) => stream.write(encodeFrame(frame));
  const finish = (end: RelayEnd, last?: Frame) => {
    if (done) return;
    done = true;
    cancelHandOverTimer();
    release();
    ports.onEnd(end);
    if (last) write(last);
    if (last) stream.end();
  };
  /** Resets the connection to the target, so that it learns at once that the caller has left. */
  const cancel = () => {
    finish("cancelled");
    exchange?.abort();
  };
  const cancelStream = () => {
    if (done) return;
    cancel();
    stream.cancel();
  };

  const beforeWrite = async () => {
    connected = true;
    write({ kind: "ready" });
    cancelHandOverTimer = clock.after(handOverTimeoutMs, cancelStream);
    await handedOver;
  };
  /** The other box can't tell a crash from a lost connection, as it does not reach the target. */
  const reportFailure = async (problem: TargetUnreachable) => {
    const targetRefuses = problem.mayHaveArrived
      ? await ports.refusesConnections(address)
      : undefined;
    const reported = { ...problem, targetRefuses };
    finish(connected ? "lost" : "not_sent", { kind: "failure", failure: reported });
  };
  const listener: ExchangeListener = {
    onHead: (head) => write({ kind: "head", head }),
    onBytes(bytes) {
      if (done) return;
      write({ kind: "bytes", bytes });
      unconsumedBytes += bytes.length;
      if (paused || unconsumedBytes < creditBytes) return;
      paused = true;
      exchange?.pause();
    },
    onComplete: () => finish("complete", { kind: "complete" }),
    onFailure: (problem) => void reportFailure(problem),
  };

  const handleOpen = (open: OpenFrame) => {
    if (exchange) return cancelStream();
    const admitted = admit(ports, load, open);
    if (typeof admitted !== "string")
      return finish("refused", { kind: "failure", failure: admitted });
    load.exchanges += 1;
    load.bodyBytes += open.bodyBytes;
    release = () => {
      load.exchanges -= 1;
      load.bodyBytes -= open.bodyBytes;
    };
    body = Buffer.alloc(open.bodyBytes);
    const { method, path, headers, connectTimeoutMs } = open;
    address = admitted;
    const request = { address, method, path, headers, connectTimeoutMs };
    exchange = direct.open(open.target, { ...request, body, beforeWrite }, listener, () => {
      const lost = failure("the relay is cut off from all targets", false, "relay");
      finish("refused", { kind: "failure", failure: lost });
    });
  };
  const handleBody = (bytes: Buffer) => {
    if (!connected || receivedBytes + bytes.length > body.length) return cancelStream();
    bytes.copy(body, receivedBytes);
    receivedBytes += bytes.length;
  };
  const handleSend = () => {
    if (!connected || receivedBytes !== body.length) return cancelStream();
    if (!ports.relays()) {
      finish("refused", { kind: "failure", failure: doesNotRelay });
      return exchange?.abort();
    }
    cancelHandOverTimer();
    handOver();
  };
  const handleConsumed = (bytes: number) => {
    unconsumedBytes -= bytes;
    if (!paused || unconsumedBytes > creditBytes / 2) return;
    paused = false;
    exchange?.resume();
  };
  const handleFrame = (frame: Frame | undefined) => {
    switch (frame?.kind) {
      case "open":
        return handleOpen(frame.open);
      case "body":
        return handleBody(frame.bytes);
      case "send":
        return handleSend();
      case "consumed":
        return handleConsumed(frame.bytes);
      default:
        return cancelStream();
    }
  };
  stream.listen({
    onFrame(bytes) {
      if (!done) handleFrame(decodeFrame(bytes));
    },
    onClosed() {
      if (!done) cancel();
    },
  });
}

/** Creates the relay's side. */
export function createRelay(ports: RelayPorts): Relay {
  const direct = createDirectPath(ports.reach, ports.openDirect);
  const load: Load = { exchanges: 0, bodyBytes: 0 };
  return {
    accept: (stream) => serve(ports, direct, load, stream),
    openExchanges: () => load.exchanges,
  };
}
