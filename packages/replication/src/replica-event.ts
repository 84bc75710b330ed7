import type { ReplicaSet } from '@hickoryspoke/protocol/generated/replica'
import type { ReplicaRole } from './replicated-log.ts'
import type { StorageFailure } from './storage-failure.ts'

/** Events that a replica reports, for logs and alerts. */
export type ReplicaEvent =
  | { readonly kind: 'opened', readonly lastIndex: number, readonly snapshotIndex: number, readonly truncatedBytes: number }
  | { readonly kind: 'formed', readonly set: ReplicaSet }
  | { readonly kind: 'not_a_member', readonly set: ReplicaSet }
  | { readonly kind: 'role_changed', readonly role: ReplicaRole, readonly term: number, readonly leader: string | undefined }
  | { readonly kind: 'quorum_lost', readonly term: number }
  | { readonly kind: 'replica_set_changed', readonly index: number, readonly set: ReplicaSet }
  | { readonly kind: 'joiner_seen', readonly name: string, readonly incarnation: string }
  | { readonly kind: 'snapshot_saved', readonly index: number, readonly bytes: number }
  | { readonly kind: 'snapshot_installed', readonly index: number, readonly bytes: number }
  | { readonly kind: 'foreign_message', readonly from: string, readonly cluster: string }
  | { readonly kind: 'failed', readonly failure: StorageFailure }
