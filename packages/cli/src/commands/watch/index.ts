/** `linkfall watch` */
import type { WatchEvent } from "@linkfall/operator-service";
import { Command, Option } from "clipanion";
import { match } from "ts-pattern";
import type { ExitCode } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

function formatEvent(event: WatchEvent): string {
  return match(event)
    .with({ type: "write" }, ({ write }) => {
      const subjects = write.changes.map(
        ({ action, subject }) => `${action} ${subject.kind}/${subject.name}`,
      );
      return `revision ${write.revision} by ${write.who}: ${subjects.join(", ")}`;
    })
    .with({ type: "model" }, ({ status }) => {
      const older = status.readyOld > 0 ? `, ${status.readyOld} of older versions` : "";
      const adapters =
        status.adapters > 0 ? `, ${status.adaptersReady} of ${status.adapters} adapters` : "";
      const counts = `${status.ready} ready, ${status.loading} loading`;
      return `model ${status.model}@${status.version}: ${counts}${older}${adapters}`;
    })
    .exhaustive();
}

export class WatchCommand extends OperatorCommand {
  static override paths = [["watch"]];
  static override usage = Command.Usage({
    description: "follow changes and model status",
    details:
      "Prints a line for each event until interrupted. With --after, starts with the writes accepted after that revision.",
    examples: [["Follow new events", "linkfall watch"]],
  });

  after = Option.String("--after", { description: "start after this revision" });

  async execute(): Promise<ExitCode> {
    const interrupted = new AbortController();
    process.once("SIGINT", () => interrupted.abort());
    const after = this.after === undefined ? undefined : Number(this.after);
    const onEvent = (event: WatchEvent) =>
      this.printLine(this.output === "json" ? JSON.stringify(event) : formatEvent(event));
    const result = await this.client().watch(after, onEvent, interrupted.signal);
    if (interrupted.signal.aborted) return 0;
    return this.handleResult(result, () => undefined);
  }
}
