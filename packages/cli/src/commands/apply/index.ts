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
    description: "create or update resources from a file",
    details: `
      Reads resources from a YAML or JSON file and writes those that differ, all of them or none.
      Resources that are not in the file are left unchanged. Changes are based on the revisions that
      are current when the command runs, or on the revision given by --base: if a resource was changed
      after that revision, nothing is applied.
    `,
    examples: [["Apply a file", "linkfall apply -f models.yaml"]],
  });

  file = Option.String("-f,--file", {
    required: true,
    description: "resource file, - for standard input",
  });
  base = Option.String("--base", {
    description: "fail if a resource was changed after this revision",
  });

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
    const rebasedChanges = changes.map((change) => ({
      ...change,
      base: Math.min(base, change.base),
    }));
    if (rebasedChanges.length === 0) {
      this.printLine(this.output === "json" ? '{"kind":"unchanged"}' : "no changes");
      return exitCodes.success;
    }
    if (this.output !== "json") {
      for (const { subject, action } of diffs) {
        if (action !== "unchanged") this.printLine(`${action} ${subject.kind}/${subject.name}`);
      }
    }
    return this.handleResult(await client.write(rebasedChanges), (written) =>
      this.printWriteResult(written),
    );
  }
}
