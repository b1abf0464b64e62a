import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { Then } from "@cucumber/cucumber";
import { editsOf, plantedFaults } from "./planted-faults.js";

const packagesFolder = fileURLToPath(new URL("../../../", import.meta.url));
const platformFolder = `${packagesFolder}../platform`;

Then("each planted text occurs exactly once in its compiled file", () => {
  const wrong = plantedFaults.flatMap((fault) =>
    editsOf(fault)
      .map(({ file, find }) => ({ file, find, name: fault.name }))
      .filter(({ file, find }) => {
        const text = readFileSync(`${packagesFolder}${file}`, "utf8");
        return text.split(find).length !== 2;
      }),
  );
  assert.deepEqual(wrong, []);
});

/** Texts of all feature files. */
function featureTexts(): readonly string[] {
  const parents = [
    ...readdirSync(packagesFolder).map((name) => `${packagesFolder}${name}`),
    platformFolder,
  ];
  return parents.flatMap((parent) => {
    const folder = `${parent}/src`;
    const files = readdirSync(folder, { recursive: true, encoding: "utf8" });
    const features = files.filter((file) => file.endsWith(".feature"));
    return features.map((file) => readFileSync(`${folder}/${file}`, "utf8"));
  });
}

Then("each scenario named by a planted fault exists", () => {
  const texts = featureTexts();
  const missing = plantedFaults
    .flatMap(({ scenario }) => scenario ?? [])
    .filter((scenario) => !texts.some((text) => text.includes(`Scenario: ${scenario}`)));
  assert.deepEqual(missing, []);
});
