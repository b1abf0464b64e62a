/** `npm run bench:quota`: ways to keep an account's limit over many boxes, compared under the same loads. */
import { quotaLoads } from "./quota-load.js";
import { runQuota } from "./quota-run.js";
import { quotaWays } from "./quota-ways.js";

const seeds = [1, 2, 3];
const say = (text: string) => void process.stdout.write(`${text}\n`);

say(
  "| tokens a second | load | way | fullest window | refused within the limit | messages a second |",
);
say("| --- | --- | --- | --- | --- | --- |");
for (const load of quotaLoads) {
  for (const [name, make] of Object.entries(quotaWays)) {
    const results = [];
    for (const seed of seeds) results.push(await runQuota(load, make, seed));
    const fullest = Math.max(...results.map((result) => result.fullestWindow));
    const refused = results.reduce((sum, { refusedWithin }) => sum + refusedWithin, 0);
    const messages = results.reduce((sum, { messagesPerSecond }) => sum + messagesPerSecond, 0);
    const cells = [
      load.perSecond,
      load.name,
      name,
      fullest.toFixed(2),
      `${((100 * refused) / seeds.length).toFixed(1)} %`,
      (messages / seeds.length).toFixed(0),
    ];
    say(`| ${cells.join(" | ")} |`);
  }
}
