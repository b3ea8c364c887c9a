//! One whole process.
