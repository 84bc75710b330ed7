/** One validation error in external input. `path` locates the value, outermost key first. */
export interface Issue {
  readonly code: string
  readonly path: readonly (string | number)[]
  readonly message: string
}

/** Base class of all expected errors. `code` is stable and machine-readable. */
export abstract class Failure extends Error {
  abstract readonly code: string
}

/** External input that failed validation, with every issue found. */
export class InvalidInput extends Failure {
  readonly code = 'invalid_input'

  private constructor (readonly issues: readonly Issue[]) {
    super(issues.map(formatIssue).join('; '))
  }

  static create (issues: readonly Issue[]): InvalidInput {
    return new InvalidInput(issues)
  }
}

/** Formats an issue as one human-readable line. */
export function formatIssue (issue: Issue): string {
  const path = issue.path.join('.')
  return path === '' ? `${issue.message} (${issue.code})` : `${path}: ${issue.message} (${issue.code})`
}

/** Message of a thrown value, which need not be an `Error`. */
export function describeError (thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown)
}
