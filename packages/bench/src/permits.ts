/** `npm run bench:permits`: compares strategies for enforcing a target's limit across boxes. */
import { permitLoads } from "./permit-load.js";
import { runPermits } from "./permit-run.js";
import { permitStrategies } from "./permit-strategies.js";

const seeds = [1, 2, 3];
const printLine = (text: string) => void process.stdout.write(`${text}\n`);

printLine("| boxes, requests/s | load | strategy | max window utilisation | used | messages/s |");
printLine("| --- | --- | --- | --- | --- | --- |");
for (const load of permitLoads) {
  for (const [name, createStrategy] of Object.entries(permitStrategies)) {
    const results = [];
    for (const seed of seeds) results.push(await runPermits(load, createStrategy, seed));
    const maxUtilisation = Math.max(...results.map((result) => result.maxWindowUtilisation));
    const used = results.reduce((sum, result) => sum + result.usedShare, 0) / seeds.length;
    const messages = results.reduce((sum, result) => sum + result.messagesPerSecond, 0);
    const cells = [
      `${load.boxes}, ${load.perSecond}`,
      load.name,
      name,
      maxUtilisation.toFixed(2),
      used.toFixed(2),
      (messages / seeds.length).toFixed(1),
    ];
    printLine(`| ${cells.join(" | ")} |`);
  }
}
