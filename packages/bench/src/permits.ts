/** `npm run bench:permits`: ways to keep a target's limit over many boxes, compared under the same loads. */
import { permitLoads } from "./permit-load.js";
import { runPermits } from "./permit-run.js";
import { permitWays } from "./permit-ways.js";

const seeds = [1, 2, 3];
const say = (text: string) => void process.stdout.write(`${text}\n`);

say("| boxes, limit a second | load | way | fullest window | used | messages a second |");
say("| --- | --- | --- | --- | --- | --- |");
for (const load of permitLoads) {
  for (const [name, make] of Object.entries(permitWays)) {
    const results = [];
    for (const seed of seeds) results.push(await runPermits(load, make, seed));
    const fullest = Math.max(...results.map((result) => result.fullestWindow));
    const used = results.reduce((sum, result) => sum + result.used, 0) / seeds.length;
    const messages = results.reduce((sum, result) => sum + result.messagesPerSecond, 0);
    const cells = [
      `${load.boxes}, ${load.perSecond}`,
      load.name,
      name,
      fullest.toFixed(2),
      used.toFixed(2),
      (messages / seeds.length).toFixed(1),
    ];
    say(`| ${cells.join(" | ")} |`);
  }
}
