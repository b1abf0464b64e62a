/** `npm run bench:quota`: ways to keep an account's limit over many boxes, compared under the same loads. */
import { quotaLoads } from "./quota-load.js";
import { runQuota } from "./quota-run.js";
import { quotaStrategies } from "./quota-strategies.js";

const seeds = [1, 2, 3];
const printLine = (text: string) => void process.stdout.write(`${text}\n`);

printLine(
  "| tokens a second | load | way | fullest window | refused within the limit | messages a second |",
);
printLine("| --- | --- | --- | --- | --- | --- |");
for (const load of quotaLoads) {
  for (const [name, createStrategy] of Object.entries(quotaStrategies)) {
    const results = [];
    for (const seed of seeds) results.push(await runQuota(load, createStrategy, seed));
    const maxUtilization = Math.max(...results.map((result) => result.maxWindowUtilization));
    const refused = results.reduce(
      (sum, { refusedShare: refusedWithin }) => sum + refusedWithin,
      0,
    );
    const messages = results.reduce((sum, { messagesPerSecond }) => sum + messagesPerSecond, 0);
    const cells = [
      load.perSecond,
      load.name,
      name,
      maxUtilization.toFixed(2),
      `${((100 * refused) / seeds.length).toFixed(1)} %`,
      (messages / seeds.length).toFixed(0),
    ];
    printLine(`| ${cells.join(" | ")} |`);
  }
}
