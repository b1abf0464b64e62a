/** Authenticates requests by the bearer token of a client account. */
import { createHash } from "node:crypto";
import type { Kernel } from "@linkfall/kernel";
import type { CallerRequest } from "@linkfall/ports";
import { notRun } from "@linkfall/refusals";
import { stateStoreName } from "@linkfall/state-store";
import type { Account, Refusal } from "@linkfall/types";
import { type Either, Left, Right } from "purify-ts";

const bearerPattern = /^Bearer (\S+)$/i;

/** Creates a function that resolves a request's token to its account. Only token hashes are stored. */
export function createAuthentication(
  kernel: Kernel,
): (request: CallerRequest) => Either<Refusal, Account> {
  const store = kernel.find(stateStoreName);
  return ({ headers }) => {
    const token = bearerPattern.exec(headers["authorization"] ?? "")?.[1];
    if (token === undefined) return Left(notRun("unauthenticated", "a bearer token is required"));
    const hash = createHash("sha256").update(token).digest("hex");
    const account = store.desired().accountsByToken.get(hash);
    return account ? Right(account) : Left(notRun("unauthenticated", "unknown token"));
  };
}
