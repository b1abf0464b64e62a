import assert from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import fc from "fast-check";
import { fingerprintOf, type RequestContent } from "./index.js";

/** Parses "account method host path body", with "-" for a request without an account. */
function contentOf(text: string): RequestContent {
  const [account, method, host, path, body] = text.split(" ");
  const accountName = account === "-" ? undefined : account;
  return { account: accountName, method, host, path, body: Buffer.from(body) };
}

Then("{string} and {string} have the same fingerprint", (one: string, other: string) => {
  assert.equal(fingerprintOf(contentOf(one)), fingerprintOf(contentOf(other)));
});

Then("{string} and {string} have different fingerprints", (one: string, other: string) => {
  assert.notEqual(fingerprintOf(contentOf(one)), fingerprintOf(contentOf(other)));
});

Then("among random requests only equal ones have the same fingerprint", () => {
  // Few distinct characters, so that different fields often have the same concatenation.
  const text = fc.string({ unit: fc.constantFrom("a", "/", "\n"), maxLength: 3 });
  const requests = fc.record({
    account: fc.option(text, { nil: undefined }),
    method: text,
    host: text,
    path: text,
    body: text.map((body) => Buffer.from(body)),
  });
  const seen = new Map<string, string>();
  fc.assert(
    fc.property(requests, (request) => {
      const fingerprint = fingerprintOf(request);
      const content = JSON.stringify({ ...request, body: request.body.toString() });
      assert.equal(seen.get(fingerprint) ?? content, content);
      seen.set(fingerprint, content);
    }),
    { seed: 3, numRuns: 5_000 },
  );
});
