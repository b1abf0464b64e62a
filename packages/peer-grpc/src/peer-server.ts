/** Answers other boxes. */
import { once } from "node:events";
import { Server, type ServerWritableStream, status } from "@grpc/grpc-js";
import type { AddressUnavailable } from "@linkfall/errors";
import type { CallerResponse, PeerHandler } from "@linkfall/ports";
import { type Either, Left, Right } from "purify-ts";
import { match } from "ts-pattern";
import { fromBeatRequest, IncompleteMessageError, toBeatReply, toReportsReply } from "./convert.js";
import {
  type Answer,
  type Ask,
  type ForwardPart,
  type ForwardRequest,
  type PeerServer,
  PeerService,
} from "./generated/peer.js";
import { type PeerTls, serverCredentials } from "./peer-tls.js";

const maxStatePartLength = 1_000_000;

export interface PeerGrpcServer {
  /** Starts to listen; resolves with the port. */
  listen(address: string): Promise<Either<AddressUnavailable, number>>;
  close(): void;
}

type ForwardCall = ServerWritableStream<ForwardRequest, ForwardPart>;

async function writePart(call: ForwardCall, part: ForwardPart["part"], gone: AbortSignal) {
  if (call.write({ part })) return;
  try {
    await once(call, "drain", { signal: gone });
  } catch {
    // The asking box has gone; the caller of this function sees it.
  }
}

async function writeForwarded(call: ForwardCall, response: CallerResponse, gone: AbortSignal) {
  const head = { status: response.status, headers: { ...response.headers } };
  await writePart(call, { $case: "head", value: head }, gone);
  if (response.body instanceof Uint8Array) {
    await writePart(call, { $case: "chunk", value: Buffer.from(response.body) }, gone);
  } else {
    for await (const part of response.body) {
      if (gone.aborted) return;
      // Ended without the marker of a whole answer, so that the other side sees the cut.
      if (part.isLeft()) return void call.end();
      const chunk = part.extract() as Uint8Array;
      await writePart(call, { $case: "chunk", value: Buffer.from(chunk) }, gone);
    }
  }
  await writePart(call, { $case: "whole", value: true }, gone);
  call.end();
}

/**
 * The answer to one small message.
 *
 * @throws IncompleteMessage
 */
function handleAsk(handler: PeerHandler, body: Ask["body"]): Answer["body"] {
  return match(body)
    .returnType<Answer["body"]>()
    .with({ $case: "beat" }, ({ $case, value }) => ({
      $case,
      value: toBeatReply(handler.heartbeat(fromBeatRequest(value))),
    }))
    .with({ $case: "usage" }, ({ $case, value }) => ({
      $case,
      value: { accounts: [...handler.reportUsage(value)] },
    }))
    .with({ $case: "reports" }, ({ $case, value }) => ({
      $case,
      value: toReportsReply(handler.readReports(value)),
    }))
    .with(undefined, () => {
      throw new IncompleteMessageError("body");
    })
    .exhaustive();
}

/**
 * Creates the server of one box.
 *
 * @param defect takes an error that no value stands for
 */
export function createPeerServer(
  handler: PeerHandler,
  defect: (problem: unknown) => void,
  tls?: PeerTls,
): PeerGrpcServer {
  const implementation: PeerServer = {
    exchange(call) {
      call.on("data", ({ number, body }: Ask) => {
        try {
          call.write({ number, body: handleAsk(handler, body) });
        } catch (problem) {
          if (!(problem instanceof IncompleteMessageError)) return defect(problem);
          call.emit("error", { code: status.INVALID_ARGUMENT, message: problem.message });
        }
      });
      call.on("end", () => call.end());
    },
    fetchState(call) {
      const { offset, data } = handler.fetchState();
      for (let start = 0; start < data.length; start += maxStatePartLength) {
        call.write({ offset, data: data.slice(start, start + maxStatePartLength) });
      }
      call.end();
    },
    forward(call) {
      const gone = new AbortController();
      call.on("cancelled", () => gone.abort());
      const { method, path, headers, body } = call.request;
      handler
        .forward({ method, path, headers, body, signal: gone.signal })
        .then((response) => writeForwarded(call, response, gone.signal))
        .catch(defect);
    },
  };
  const server = new Server({ "grpc.max_receive_message_length": 64_000_000 });
  server.addService(PeerService, implementation);
  return {
    listen: (address) =>
      new Promise((resolve) => {
        server.bindAsync(address, serverCredentials(tls), (problem, port) => {
          if (problem === null) return resolve(Right(port));
          resolve(Left({ kind: "address_unavailable", address, reason: problem.message }));
        });
      }),
    close: () => server.forceShutdown(),
  };
}
