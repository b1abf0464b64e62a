import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { firstOutgoingPort, freeAddresses } from "./free-addresses.js";

let taken: readonly string[] = [];

When("{int} addresses are taken twice", async (count: number) => {
  taken = [...(await freeAddresses(count)), ...(await freeAddresses(count))];
});

Then("no two are alike, and the system gives none of their ports to outgoing connections", () => {
  assert.equal(new Set(taken).size, taken.length);
  const ports = taken.map((address) => Number(address.split(":")[1]));
  assert.deepEqual(
    ports.filter((port) => port >= firstOutgoingPort()),
    [],
  );
});
