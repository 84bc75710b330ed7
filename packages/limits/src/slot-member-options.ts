/** What a `SlotMember` is given. */
import type { ShareSettings } from './share-settings.ts'
import type { ShareLookup } from './slot-shares.ts'
import type { VoterIdentity } from './slot-voter.ts'

/** Dependencies of `SlotMember`. */
export interface SlotMemberOptions {
  readonly settings: ShareSettings
  readonly identity: VoterIdentity
  readonly self: string
  readonly lookup: ShareLookup
}
