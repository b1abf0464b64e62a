/** `npm run bench:quota`: compares strategies for enforcing an account's limit across boxes. */
import { quotaLoads } from "./quota-load.js";
import { runQuota } from "./quota-run.js";
import { quotaStrategies } from "./quota-strategies.js";

const seeds = [1, 2, 3];
const printLine = (text: string) => void process.stdout.write(`${text}\n`);

printLine(
  "| tokens/s | load | strategy | max window utilisation | refused within the limit | messages/s |",
);
printLine("| --- | --- | --- | --- | --- | --- |");
for (const load of quotaLoads) {
  for (const [name, createStrategy] of Object.entries(quotaStrategies)) {
    const results = [];
    for (const seed of seeds) results.push(await runQuota(load, createStrategy, seed));
    const maxUtilisation = Math.max(...results.map((result) => result.maxWindowUtilisation));
    const refused = results.reduce((sum, { refusedShare }) => sum + refusedShare, 0);
    const messages = results.reduce((sum, { messagesPerSecond }) => sum + messagesPerSecond, 0);
    const cells = [
      load.perSecond,
      load.name,
      name,
      maxUtilisation.toFixed(2),
      `${((100 * refused) / seeds.length).toFixed(1)} %`,
      (messages / seeds.length).toFixed(0),
    ];
    printLine(`| ${cells.join(" | ")} |`);
  }
}
