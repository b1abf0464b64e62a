/** `linkfall watch` */
import type { WatchEvent } from "@linkfall/operator-service";
import { Command, Option } from "clipanion";
import { match } from "ts-pattern";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

function describe(event: WatchEvent): string {
  return match(event)
    .with({ type: "write" }, ({ write }) => {
      const subjects = write.changes.map(
        ({ action, subject }) => `${action} ${subject.kind}/${subject.name}`,
      );
      return `revision ${write.revision} by ${write.who}: ${subjects.join(", ")}`;
    })
    .with({ type: "model" }, ({ status }) => {
      const old = status.readyOld > 0 ? `, ${status.readyOld} of older versions` : "";
      const adapters =
        status.adapters > 0 ? `, ${status.adaptersReady} of ${status.adapters} adapters` : "";
      const counts = `${status.ready} ready, ${status.loading} loading`;
      return `model ${status.model}@${status.version}: ${counts}${old}${adapters}`;
    })
    .exhaustive();
}

export class WatchCommand extends OperatorCommand {
  static override paths = [["watch"]];
  static override usage = Command.Usage({
    description: "follow changes and the states of models",
    details:
      "Prints a line for each event until it is interrupted. With --after, accepted writes after that revision come first.",
    examples: [["Follow from now on", "linkfall watch"]],
  });

  after = Option.String("--after", { description: "begin after this revision" });

  async execute(): Promise<ExitCode> {
    const interrupted = new AbortController();
    process.once("SIGINT", () => interrupted.abort());
    const after = this.after === undefined ? undefined : Number(this.after);
    const take = (event: WatchEvent) =>
      this.printLine(this.output === "json" ? JSON.stringify(event) : describe(event));
    const ended = await this.client().watch(after, take, interrupted.signal);
    if (interrupted.signal.aborted) return 0;
    return this.handleResult(ended, () => undefined);
  }
}
