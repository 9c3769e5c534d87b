/** Reports the failures of commands that edit single items. */
import { reportControlFailure } from './ControlAccess.js';
import type { EditFailure, PublishFailure } from './Publisher.js';
import { reportFailure } from './Report.js';
import { EXIT_CODE, type ICommandContext, type ICommandInput } from './Types.js';

/** Reports why an edit was not applied and returns the exit code. */
export function reportEditFailure(
  input: ICommandInput,
  context: ICommandContext,
  failure: PublishFailure | EditFailure,
): number {
  if (failure.kind === 'conflict') {
    reportFailure(input, context, failure, { ...failure.details });
    return EXIT_CODE.conflict;
  }
  return reportControlFailure(input, context, failure);
}
