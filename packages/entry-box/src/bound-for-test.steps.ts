/** Bounds of a front in a test, which few connections do not meet. */
import assert from "node:assert/strict";
import type { Server } from "node:http";
import {
  type BoundedConnections,
  boundConnections,
  type ConnectionBoundsOptions,
  createReadTurns,
} from "@linkfall/connection-bounds";
import type { Clock } from "@linkfall/kernel";

const maxConnections = 1_000;
const maxHeaderBytes = 16_384;

export function boundForTest(
  server: Server,
  clock: Clock,
  onMalformed?: ConnectionBoundsOptions["onMalformed"],
): BoundedConnections {
  return boundConnections(server, {
    turns: createReadTurns(clock),
    onMalformed,
    maxConnections,
    maxHeaderBytes,
    onClosed: () => undefined,
    onNotBegun: () => undefined,
    onDefect: (defect) => assert.fail(String(defect)),
  });
}
