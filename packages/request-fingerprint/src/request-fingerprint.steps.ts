import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { fingerprintOf, type RequestContent } from "./index.js";

/** Reads "account method host path body"; "-" stands for no account. */
function contentOf(text: string): RequestContent {
  const [account, method, host, path, body] = text.split(" ");
  const named = account === "-" ? undefined : account;
  return { account: named, method, host, path, body: Buffer.from(body) };
}

Then("{string} and {string} have one fingerprint", (one: string, other: string) => {
  assert.equal(fingerprintOf(contentOf(one)), fingerprintOf(contentOf(other)));
});

Then("{string} and {string} have two fingerprints", (one: string, other: string) => {
  assert.notEqual(fingerprintOf(contentOf(one)), fingerprintOf(contentOf(other)));
});

Then("among random requests only equal ones have one fingerprint", () => {
  // Few different characters, so that parts of different lengths often make the same text together.
  const word = fc.string({ unit: fc.constantFrom("a", "/", "\n"), maxLength: 3 });
  const content = fc.record({
    account: fc.option(word, { nil: undefined }),
    method: word,
    host: word,
    path: word,
    body: word.map((text) => Buffer.from(text)),
  });
  const seen = new Map<string, string>();
  fc.assert(
    fc.property(content, (request) => {
      const fingerprint = fingerprintOf(request);
      const text = JSON.stringify({ ...request, body: request.body.toString() });
      assert.equal(seen.get(fingerprint) ?? text, text);
      seen.set(fingerprint, text);
    }),
    { seed: 3, numRuns: 5_000 },
  );
});
