/** `linkfall delete KIND NAME` */
import { resourceKey, resourceKinds } from "@linkfall/types";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class DeleteCommand extends OperatorCommand {
  static override paths = [["delete"]];
  static override usage = Command.Usage({
    description: "remove one resource from desired state",
    details:
      "Refused while another resource refers to it. With --base, refused when it was changed after that revision.",
    examples: [["Remove a model", "linkfall delete model notices"]],
  });

  kind = Option.String();
  name = Option.String();
  base = Option.String("--base", { description: "refuse when it was changed after this revision" });

  async execute(): Promise<ExitCode> {
    const kind = resourceKinds.find((known) => known === this.kind);
    if (kind === undefined) {
      return this.printProblems([{ field: "kind", reason: `one of ${resourceKinds.join(", ")}` }]);
    }
    const name = { kind, name: this.name };
    const client = this.client();
    const answer = await client.resources();
    if (answer.isLeft()) return this.handleResult(answer, () => undefined);
    const stored = answer
      .unsafeCoerce()
      .resources.find((entry) => resourceKey(entry.resource) === resourceKey(name));
    if (!stored) {
      this.printError(`there is no ${kind} "${this.name}"`);
      return exitCodes.notFound;
    }
    const base = this.base === undefined ? stored.revision : Number(this.base);
    const written = await client.write([{ action: "delete", name, base }]);
    return this.handleResult(written, (value) => this.printWriteResult(value));
  }
}
