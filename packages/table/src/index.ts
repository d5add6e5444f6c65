/** The operators' configuration table: validation, edits, audit trail and CSV. */
export * from './applyChanges/index.js'
export * from './editTable/index.js'
export * from './formatCsv/index.js'
export * from './parseAssignments/index.js'
export * from './parseCsv/index.js'
export * from './parseTable/index.js'
export * from './readAudit/index.js'
