import assert from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { firstEphemeralPort, freeAddresses } from "./free-addresses.js";

let addresses: readonly string[] = [];

When("{int} addresses are taken twice", async (count: number) => {
  addresses = [...(await freeAddresses(count)), ...(await freeAddresses(count))];
});

Then("no two are alike, and the system gives none of their ports to outgoing connections", () => {
  assert.equal(new Set(addresses).size, addresses.length);
  const ports = addresses.map((address) => Number(address.split(":")[1]));
  assert.deepEqual(
    ports.filter((port) => port >= firstEphemeralPort()),
    [],
  );
});
