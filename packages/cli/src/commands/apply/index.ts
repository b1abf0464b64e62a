/** `linkfall apply -f FILE` */
import { diffResources } from "@linkfall/desired-diff";
import type { InvalidInput } from "@linkfall/errors";
import type { Resource, Revision } from "@linkfall/types";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import { readResourceFile } from "../../read-input.js";

export class ApplyCommand extends OperatorCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    description: "declare resources: create or change them",
    details: `
      Reads resources from a YAML or JSON file and writes those that differ, all of them or none.
      Resources that the file does not name stay as they are. A change is based on the revisions that
      are current when the command runs; with --base, on that revision: if a resource was changed
      after it, nothing is applied.
    `,
    examples: [["Declare what a file holds", "linkfall apply -f models.yaml"]],
  });

  file = Option.String("-f,--file", {
    required: true,
    description: "resource file, - for standard input",
  });
  base = Option.String("--base", { description: "refuse what was changed after this revision" });

  async execute(): Promise<ExitCode> {
    return readResourceFile(this.file).caseOf<Promise<ExitCode>>({
      Left: async (invalid: InvalidInput) => this.printProblems(invalid.problems),
      Right: (resources) => this.apply(resources),
    });
  }

  private async apply(resources: readonly Resource[]): Promise<ExitCode> {
    const client = this.client();
    const stored = await client.resources();
    if (stored.isLeft()) return this.handleResult(stored, () => undefined);
    const { changes, diffs } = diffResources(resources, stored.unsafeCoerce().resources);
    const base: Revision = this.base === undefined ? Infinity : Number(this.base);
    const based = changes.map((change) => ({ ...change, base: Math.min(base, change.base) }));
    if (based.length === 0) {
      this.printLine(this.output === "json" ? '{"kind":"unchanged"}' : "nothing to change");
      return exitCodes.success;
    }
    if (this.output !== "json") {
      for (const { subject, action } of diffs) {
        if (action !== "unchanged") this.printLine(`${action} ${subject.kind}/${subject.name}`);
      }
    }
    return this.handleResult(await client.write(based), (written) =>
      this.printWriteResult(written),
    );
  }
}
