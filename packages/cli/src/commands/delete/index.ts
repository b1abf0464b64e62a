/** `linkfall delete KIND NAME` */
import { resourceKey, resourceKinds } from "@linkfall/types";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";

export class DeleteCommand extends OperatorCommand {
  static override paths = [["delete"]];
  static override usage = Command.Usage({
    description: "delete a resource from the desired state",
    details:
      "Fails while another resource refers to it. With --base, fails if it was changed after that revision.",
    examples: [["Delete a model", "linkfall delete model notices"]],
  });

  kind = Option.String();
  name = Option.String();
  base = Option.String("--base", { description: "fail if it was changed after this revision" });

  async execute(): Promise<ExitCode> {
    const kind = resourceKinds.find((candidate) => candidate === this.kind);
    if (kind === undefined) {
      return this.printProblems([
        { field: "kind", reason: `must be one of ${resourceKinds.join(", ")}` },
      ]);
    }
    const subject = { kind, name: this.name };
    const client = this.client();
    const resources = await client.resources();
    if (resources.isLeft()) return this.handleResult(resources, () => undefined);
    const stored = resources
      .unsafeCoerce()
      .resources.find((entry) => resourceKey(entry.resource) === resourceKey(subject));
    if (!stored) {
      this.printError(`${kind} "${this.name}" does not exist`);
      return exitCodes.notFound;
    }
    const base = this.base === undefined ? stored.revision : Number(this.base);
    const written = await client.write([{ action: "delete", name: subject, base }]);
    return this.handleResult(written, (value) => this.printWriteResult(value));
  }
}
