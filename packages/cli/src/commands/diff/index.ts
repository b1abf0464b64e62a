/** `linkfall diff -f FILE` */
import { diffResources, type ResourceDiff } from "@linkfall/desired-diff";
import { Command, Option } from "clipanion";
import { type ExitCode, exitCodes } from "../../exit-codes.js";
import { OperatorCommand } from "../../operator-command.js";
import { readResourceFile } from "../../read-input.js";

export class DiffCommand extends OperatorCommand {
  static override paths = [["diff"]];
  static override usage = Command.Usage({
    description: "show what apply would change",
    details: "Exits with 0 when there is no difference and with 6 when there is one.",
    examples: [["Compare a file with the desired state", "linkfall diff -f models.yaml"]],
  });

  file = Option.String("-f,--file", {
    required: true,
    description: "resource file, - for standard input",
  });

  async execute(): Promise<ExitCode> {
    const read = readResourceFile(this.file);
    if (read.isLeft()) {
      return read
        .swap()
        .map((invalid) => this.printProblems(invalid.problems))
        .unsafeCoerce();
    }
    const stored = await this.client().resources();
    return this.handleResult(stored, ({ resources }) => {
      const { diffs } = diffResources(read.unsafeCoerce(), resources);
      const different = diffs.filter((diff) => diff.action !== "unchanged");
      this.showDiffs(different);
      return different.length > 0 ? exitCodes.differs : exitCodes.success;
    });
  }

  private showDiffs(diffs: readonly ResourceDiff[]): void {
    const rows = () =>
      diffs.flatMap(({ subject, action, base, fields }) =>
        fields.map(({ field, before, after }) => [
          action,
          `${subject.kind}/${subject.name}`,
          base,
          field,
          JSON.stringify(before) ?? "",
          JSON.stringify(after),
        ]),
      );
    this.printValue(diffs, ["ACTION", "RESOURCE", "BASE", "FIELD", "BEFORE", "AFTER"], rows);
  }
}
