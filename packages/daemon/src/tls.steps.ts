import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { request } from "node:https";
import { After, Given, Then } from "@cucumber/cucumber";
import { createOperatorClient } from "@linkfall/operator-client";
import { DeploymentProcesses, operatorToken, waitUntil } from "@linkfall/stand-ins";
import { scenarioState } from "@linkfall/test-support";

const folder = "packages/daemon/test-certificates";
const certFile = `${folder}/box.cert.pem`;
const ca = readFileSync(certFile, "utf8");

Given("two boxes as processes with a certificate", async function (this: object) {
  const deployment = new DeploymentProcesses();
  scenarioState(this).set("tlsDeployment", deployment);
  await deployment.startPlatform();
  const tls = { cert_file: certFile, key_file: `${folder}/box.key.pem`, ca_file: certFile };
  for (const name of ["box-1", "box-2"]) await deployment.startBox(name, "north", { tls });
});

After(async function (this: object) {
  try {
    await scenarioState(this).get<DeploymentProcesses>("tlsDeployment").stop();
  } catch {
    // The scenario has no such deployment.
  }
});

function statusOverTls(address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const asked = request(`https://${address}/v1/entries`, { ca }, (answer) => {
      answer.resume();
      resolve(answer.statusCode ?? 0);
    });
    asked.on("error", reject);
    asked.end();
  });
}

Then(
  "they see each other over TLS, callers and operators reach them by https, and plain HTTP is refused",
  async function (this: object) {
    const deployment = scenarioState(this).get<DeploymentProcesses>("tlsDeployment");
    const [box] = deployment.boxes;
    const url = `https://${box.operatorAddress}`;
    const operator = createOperatorClient({ url, token: operatorToken, ca });
    const bothAlive = async () => {
      const boxes = (await operator.boxes()).orDefault([]);
      return boxes.filter((line) => line.state === "alive").length === 2;
    };
    await waitUntil(bothAlive, () => box.stderrText().slice(-1_000));
    const unauthenticated = 401;
    assert.equal(await statusOverTls(box.callerAddress), unauthenticated);
    await assert.rejects(fetch(`http://${box.callerAddress}/v1/entries`));
  },
);
