import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { scenarioState } from "@linkfall/test-support";
import fc from "fast-check";
import { type ChunkBuffer, createChunkBuffer } from "./chunk-buffer.js";

interface MemoryGrowth {
  readonly collected: ChunkBuffer;
  readonly heapBytes: number;
  readonly allBytes: number;
}

Then(
  "any division of {int} bytes into chunks is collected without a change",
  function (size: number) {
    const bytes = Buffer.from(Array.from({ length: size }, (_, index) => (index * 31) % 256));
    const boundaries = fc.array(fc.nat(size), { maxLength: 40 });
    fc.assert(
      fc.property(boundaries, fc.boolean(), fc.boolean(), (offsets, reused, isOwnMemory) => {
        const collected = createChunkBuffer();
        if (reused) {
          collected.append(Buffer.from("earlier"));
          collected.append(Buffer.from("bytes"));
          assert.equal(collected.take().toString(), "earlierbytes");
        }
        let from = 0;
        for (const end of [...offsets.sort((left, right) => left - right), size]) {
          const chunk = bytes.subarray(from, end);
          collected.append(isOwnMemory ? Buffer.from(chunk) : chunk);
          from = end;
          assert.equal(collected.size(), end);
        }
        assert.ok(collected.peek().equals(bytes));
        assert.ok(collected.take().equals(bytes));
        assert.equal(collected.size(), 0);
      }),
      { seed: 4, numRuns: 200 },
    );
  },
);

When("{int} chunks of one byte are collected", function (this: object, count: number) {
  const chunk = Buffer.from("x");
  const before = process.memoryUsage();
  const collected = createChunkBuffer();
  for (let index = 0; index < count; index++) collected.append(chunk.subarray(0, 1));
  const after = process.memoryUsage();
  const heapBytes = after.heapUsed - before.heapUsed;
  const allBytes = heapBytes + after.arrayBuffers - before.arrayBuffers;
  scenarioState(this).set("growth", { collected, heapBytes, allBytes } satisfies MemoryGrowth);
});

Then(
  "the heap has grown by at most {int} bytes, and all memory by at most {int} bytes",
  function (this: object, maxHeapBytes: number, maxBytes: number) {
    const { collected, heapBytes, allBytes } = scenarioState(this).get<MemoryGrowth>("growth");
    assert.ok(collected.size() > 0);
    assert.ok(heapBytes <= maxHeapBytes, `the heap grew by ${heapBytes} bytes`);
    assert.ok(allBytes <= maxBytes, `memory grew by ${allBytes} bytes`);
  },
);

Then("a buffer has no bytes at first, after it was taken, and after it was cleared", () => {
  const collected = createChunkBuffer();
  const assertEmpty = () => {
    assert.equal(collected.size(), 0);
    assert.equal(collected.peek().length, 0);
    assert.equal(collected.take().length, 0);
  };
  assertEmpty();
  collected.append(Buffer.from("ab"));
  assert.equal(collected.take().toString(), "ab");
  assertEmpty();
  collected.append(Buffer.from("ab"));
  collected.append(Buffer.from("cd"));
  collected.clear();
  assertEmpty();
});
